import type {ConfigurationDelta} from '@cardamomfield/configuration';
import {NotFoundError} from '@cardamomfield/errors';
import type {Worker} from '@cardamomfield/types';
import {createClient} from './create_client.js';
import {defineCommand} from './define_command.js';
import {entryOptions} from './entry_options.js';
import {getConfiguration} from './get_configuration.js';
import {publishChange} from './publish_change.js';
import {reportError} from './report_error.js';

/** `cardamomfield drain worker NAME` */
export const drainWorker = defineCommand({
  command: 'worker <name>',
  describe: 'Give a worker no new work, or give it work again with --undo',
  example: ['drain worker desk-07 --editor amal', 'Prepare a host for repair'],
  options: yargs =>
    entryOptions(yargs)
      .positional('name', {type: 'string', demandOption: true})
      .option('editor', {
        type: 'string',
        demandOption: true,
        requiresArg: true,
        describe: 'Who makes the change',
      })
      .option('undo', {type: 'boolean', default: false}),
  execute: async (options, run) => {
    const {json, editor, name} = options;
    const client = createClient(options, run);
    const current = await getConfiguration(client);
    if (current.isLeft()) {
      return reportError(run, current.swap().unsafeCoerce(), json);
    }
    const {version, state} = current.unsafeCoerce();
    const workers = new Map(Object.entries(state.workers));
    const worker = workers.get(name);
    if (!worker) {
      const message = `worker ${name} is not in the inventory`;
      return reportError(run, NotFoundError.create(message), json);
    }
    const newState = options.undo ? 'active' : 'leaving';
    const put = worker.state === newState ? [] : [{...worker, state: newState}];
    const change = createWorkersDelta(put as Worker[]);
    return publishChange(run, {client, base: version, editor, change, json});
  },
});

function createWorkersDelta(workers: Worker[]): ConfigurationDelta {
  const emptyLists = {racks: [], services: [], teams: [], rules: []};
  return {
    kind: 'delta',
    put: {...emptyLists, workers},
    remove: {...emptyLists, workers: []},
  };
}
