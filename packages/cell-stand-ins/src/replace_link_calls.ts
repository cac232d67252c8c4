import type {WorkerLink} from '@cardamomfield/cell-model';

/** A link of which the given calls are replaced. */
export function replaceLinkCalls(
  link: WorkerLink,
  calls: Partial<WorkerLink>,
): WorkerLink {
  return {
    start: order => link.start(order),
    stop: (name, attempt, fence) => link.stop(name, attempt, fence),
    pace: (name, attempt, percent, fence) =>
      link.pace(name, attempt, percent, fence),
    poll: order => link.poll(order),
    close: () => link.close(),
    ...calls,
  };
}
