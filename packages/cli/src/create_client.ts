import {InvalidInputError} from '@cardamomfield/errors';
import type {CommandRun} from './command_run.js';
import type {EntryConnection} from './entry_connection.js';
import {EntryClient} from './entry_client.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** A client for the entry hosts that the options or the environment name. */
export function createClient(
  {entry, timeoutSeconds}: EntryConnection,
  {context}: CommandRun,
): EntryClient {
  const text = context.environment['CARDAMOMFIELD_ENTRY'] ?? '';
  const urls = entry ?? text.split(',').filter(url => url !== '');
  if (urls.length === 0) {
    const message = 'give an entry host by --entry or CARDAMOMFIELD_ENTRY';
    throw InvalidInputError.create(message);
  }
  const wrong = urls.find(url => !/^https?:/.test(url) || !URL.canParse(url));
  if (wrong !== undefined) {
    throw InvalidInputError.create(`${wrong} is not an http or https URL`);
  }
  if (!(timeoutSeconds > 0)) {
    throw InvalidInputError.create('--timeout-seconds is not above 0');
  }
  return EntryClient.create({
    urls,
    timeoutMilliseconds: timeoutSeconds * MILLISECONDS_PER_SECOND,
    signal: context.signal,
  });
}
