import type {ConfigurationState, Worker} from '@cardamomfield/types';

/** The workers of every rack that has any. */
export function groupWorkersByRack(
  configuration: ConfigurationState,
): ReadonlyMap<string, readonly Worker[]> {
  const byRack = new Map<string, Worker[]>();
  for (const worker of Object.values(configuration.workers)) {
    const workers = byRack.get(worker.rack);
    if (workers) workers.push(worker);
    else byRack.set(worker.rack, [worker]);
  }
  return byRack;
}
