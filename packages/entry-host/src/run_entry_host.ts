import type {EntrySettings} from '@cardamomfield/settings';
import {createContainer} from './create_container.js';
import {EntryHost} from './entry_host.js';

/** Exit code when a second signal interrupts the graceful shutdown. */
const FORCED_EXIT_CODE = 130;

/**
 * Runs an entry host until it gets a signal. The first SIGTERM or SIGINT
 * starts a graceful shutdown; a second one exits immediately. One JSON line on
 * standard output reports the ports, for callers that configured port 0.
 */
export async function runEntryHost(settings: EntrySettings): Promise<void> {
  const host = await EntryHost.create(createContainer(settings));
  const ports = await host.start();
  const line = {process: settings.processName, ...ports};
  process.stdout.write(`${JSON.stringify(line)}\n`);
  await nextSignal();
  void nextSignal().then(() => process.exit(FORCED_EXIT_CODE));
  await host.stop();
  process.exit(0);
}

function nextSignal(): Promise<void> {
  return new Promise(resolve => {
    const stop = () => {
      process.off('SIGTERM', stop);
      process.off('SIGINT', stop);
      resolve();
    };
    process.on('SIGTERM', stop);
    process.on('SIGINT', stop);
  });
}
