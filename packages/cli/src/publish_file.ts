import type {ConfigurationDelta} from '@cardamomfield/configuration';
import type {ConfigurationState} from '@cardamomfield/types';
import type {z} from 'zod';
import type {CommandRun} from './command_run.js';
import {createClient} from './create_client.js';
import type {EntryConnection} from './entry_connection.js';
import type {ExitCode} from './exit_code.js';
import {formatDelta} from './format_delta.js';
import {getConfiguration} from './get_configuration.js';
import {publishChange} from './publish_change.js';
import {readFileAs} from './read_file_as.js';
import {reportError} from './report_error.js';

interface PublishFileOptions extends EntryConnection {
  file: string;
  editor: string;
  base: number | undefined;
  keepOthers: boolean;
}

interface FileKind<Value> {
  schema: z.ZodType<Value>;
  toChange: (
    file: Value,
    inForce: ConfigurationState,
    options: {keepOthers: boolean},
  ) => ConfigurationDelta;
}

/** Publishes the difference between a file and the configuration in force. */
export async function publishFile<Value>(
  run: CommandRun,
  options: PublishFileOptions,
  {schema, toChange}: FileKind<Value>,
): Promise<ExitCode> {
  const {file, editor, json} = options;
  const client = createClient(options, run);
  const parsed = await readFileAs(schema, file, run);
  if (parsed.isLeft()) {
    return reportError(run, parsed.swap().unsafeCoerce(), json);
  }
  const current = await getConfiguration(client);
  if (current.isLeft()) {
    return reportError(run, current.swap().unsafeCoerce(), json);
  }
  const {version, state} = current.unsafeCoerce();
  const change = toChange(parsed.unsafeCoerce(), state, options);
  if (!json) formatDelta(change, state).forEach(run.context.writeLine);
  const base = options.base ?? version;
  return publishChange(run, {client, base, editor, change, json});
}
