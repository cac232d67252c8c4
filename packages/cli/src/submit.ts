import {InvalidInputError} from '@cardamomfield/errors';
import {Submission, WorkKind} from '@cardamomfield/types';
import type {ArgumentsCamelCase, Argv} from 'yargs';
import {z} from 'zod';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {RequestView} from './request_view.js';
import {reportError} from './report_error.js';
import {printRequestView} from './print_request_view.js';

const MILLISECONDS_PER_SECOND = 1_000;

const DEMAND_DEFAULTS = {
  'processor-millicores': 1_000,
  'memory-bytes': 268_435_456,
  accelerators: 0,
  slots: 1,
  connections: 1,
} as const;

/**
 * A submission without its key, which is sent as a header. The entry host uses
 * its own region when none is given.
 */
const RequestBody = Submission.omit({key: true}).partial({region: true});

type SubmitOptions = ArgumentsCamelCase<
  ReturnType<typeof submitOptions> extends Argv<infer Options> ? Options : never
>;

/** `cardamomfield submit` */
export const submit = defineCommand({
  command: 'submit',
  describe: 'Submit a request and wait for its answer',
  example: [
    'submit --team live-watch --service cortege-desk --kind service --idempotent --no-wait',
    'Start a watch and return at once',
  ],
  options: submitOptions,
  execute: async (options, run) => {
    const client = createClient(options, run);
    const key = options.key ?? run.context.createKey();
    const deadlineMilliseconds =
      options.deadlineSeconds * MILLISECONDS_PER_SECOND;
    const body = createRequestBody(
      options,
      run.context.clock.wallNow() + deadlineMilliseconds,
    );
    // With the key, the request can be looked up after a lost answer.
    run.context.writeErrorLine(`key ${key}`);
    const answer = await client.call({
      method: 'POST',
      path: `/v1/requests?wait=${options.wait}`,
      schema: RequestView,
      headers: {'idempotency-key': key},
      body,
      // The key makes the call idempotent across the entry hosts.
      isRepeatable: true,
      timeoutMilliseconds:
        options.timeoutSeconds * MILLISECONDS_PER_SECOND +
        (options.wait ? deadlineMilliseconds : 0),
    });
    return answer.caseOf({
      Left: error => reportError(run, error, options.json),
      Right: view => printRequestView(run, view, options.json),
    });
  },
});

/** Creates the request body; throws when the options are invalid. */
function createRequestBody(options: SubmitOptions, deadline: number) {
  const body = RequestBody.safeParse({
    team: options.team,
    service: options.service,
    kind: options.kind,
    demand: {
      processorMillicores: options.processorMillicores,
      memoryBytes: options.memoryBytes,
      accelerators: options.accelerators,
      slots: options.slots,
      connections: options.connections,
    },
    taskCount: options.tasks,
    idempotent: options.idempotent,
    region: options.region,
    deadline,
    declaredRunMilliseconds: options.runMilliseconds,
    payload: parsePayload(options.payload),
  });
  if (body.success) return body.data;
  throw InvalidInputError.create(z.prettifyError(body.error));
}

function submitOptions(yargs: Argv) {
  const described = entryOptions(yargs)
    .option('team', {type: 'string', demandOption: true})
    .option('service', {type: 'string', demandOption: true})
    .option('kind', {choices: WorkKind.options, demandOption: true})
    .option('idempotent', {
      type: 'boolean',
      default: false,
      describe: 'The request may run more than once',
    })
    .option('key', {type: 'string', describe: 'Key; default: a new one'})
    .option('tasks', {type: 'number', default: 1})
    .option('region', {type: 'string', describe: 'Region of the caller'})
    .option('deadline-seconds', {
      type: 'number',
      default: 30,
      describe: 'No start is made after this time',
    })
    .option('run-milliseconds', {
      type: 'number',
      default: 0,
      describe: 'Estimated run time of a task',
    })
    .option('payload', {
      type: 'string',
      default: 'null',
      describe: 'JSON for the tasks',
    })
    .option('wait', {
      type: 'boolean',
      default: true,
      describe: 'Wait for the final answer',
    });
  return demandOptions(described);
}

function demandOptions<Options>(yargs: Argv<Options>) {
  return yargs
    .option('processor-millicores', amountOption('processor-millicores'))
    .option('memory-bytes', amountOption('memory-bytes'))
    .option('accelerators', amountOption('accelerators'))
    .option('slots', amountOption('slots'))
    .option('connections', amountOption('connections'));
}

function amountOption(name: keyof typeof DEMAND_DEFAULTS) {
  return {type: 'number', default: DEMAND_DEFAULTS[name]} as const;
}

function parsePayload(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch (error) {
    const {message} = error as Error;
    throw InvalidInputError.create(`--payload is not JSON: ${message}`);
  }
}
