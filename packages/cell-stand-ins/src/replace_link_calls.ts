import type {WorkerLink} from '@cardamomfield/cell-model';

/** Returns a link that uses the given calls in place of the original ones. */
export function replaceLinkCalls(
  link: WorkerLink,
  calls: Partial<WorkerLink>,
): WorkerLink {
  return {
    start: order => link.start(order),
    stop: (name, attempt, fencingToken) =>
      link.stop(name, attempt, fencingToken),
    pace: (name, attempt, percent, fencingToken) =>
      link.pace(name, attempt, percent, fencingToken),
    poll: order => link.poll(order),
    close: () => link.close(),
    ...calls,
  };
}
