import {InternalError} from '@cardamomfield/errors';
import type {EntrySettings} from '@cardamomfield/settings';

/** What this command uses of package `entry-host`. */
interface EntryHostModule {
  /** Runs the daemon until it has shut down. */
  runEntryHost?: (settings: EntrySettings) => Promise<void>;
}

/** Loads the daemon, which the other subcommands do not need, and runs it. */
export async function startEntryHost(settings: EntrySettings): Promise<void> {
  const module: EntryHostModule = await import('@cardamomfield/entry-host');
  if (!module.runEntryHost) {
    const message = 'package entry-host does not export runEntryHost';
    throw InternalError.create(message);
  }
  await module.runEntryHost(settings);
}
