import type {EntrySettings} from '@cardamomfield/settings';

/**
 * Runs the daemon. Its code is loaded here, because the other subcommands do
 * not need it.
 */
export async function startEntryHost(settings: EntrySettings): Promise<void> {
  const {runEntryHost} = await import('@cardamomfield/entry-host');
  await runEntryHost(settings);
}
