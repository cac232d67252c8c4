import type {EntrySettings} from '@cardamomfield/settings';

/** Loads the daemon, which the other subcommands do not need, and runs it. */
export async function startEntryHost(settings: EntrySettings): Promise<void> {
  const {runEntryHost} = await import('@cardamomfield/entry-host');
  await runEntryHost(settings);
}
