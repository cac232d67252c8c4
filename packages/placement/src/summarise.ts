import {WorkKind} from '@cardamomfield/types';
import type {JobQueue} from './job_queue.js';
import type {OwnerSummary} from './owner_summary.js';
import type {ReservationLedger} from './reservation_ledger.js';
import type {RunTimes} from './run_times.js';
import {Vectors} from './vectors.js';

/** Maximum wait in a summary; also used when no task is expected to end. */
const MAXIMUM_WAIT_MILLISECONDS = 3_600_000;

/** Summarises free capacity by group and expected waits by class. */
export function summarise(
  ledger: ReservationLedger,
  queue: JobQueue,
  runTimes: RunTimes,
): OwnerSummary {
  return {
    groups: summariseGroups(ledger),
    classes: summariseClasses(queue, runTimes),
  };
}

function summariseGroups(ledger: ReservationLedger): OwnerSummary['groups'] {
  const groups: OwnerSummary['groups'] = [];
  for (const name of [...ledger.groupNames()].sort()) {
    const free = Vectors.zero();
    let largestFree = Vectors.zero();
    for (const worker of ledger.workersOf(name)) {
      // A worker that is overcommitted in one dimension takes no task at all.
      if (!worker.isPlaceable || worker.available.some(a => a < 0)) continue;
      Vectors.add(free, worker.available);
      largestFree = Vectors.maximum(largestFree, worker.available);
    }
    groups.push({
      name,
      free: Vectors.toResources(free),
      largestFree: Vectors.toResources(largestFree),
    });
  }
  return groups;
}

/** A task waits for the tasks of its own class and of higher classes. */
function summariseClasses(
  queue: JobQueue,
  runTimes: RunTimes,
): OwnerSummary['classes'] {
  const rate = runTimes.completionsPerMillisecond();
  let tasksAhead = 0;
  return WorkKind.options.map(kind => {
    const waitingTasks = queue.taskCountOf(kind);
    tasksAhead += waitingTasks;
    return {
      kind,
      waitingTasks,
      expectedWaitMilliseconds: expectedWait(tasksAhead, rate),
    };
  });
}

function expectedWait(tasksAhead: number, rate: number): number {
  if (tasksAhead === 0) return 0;
  if (rate <= 0) return MAXIMUM_WAIT_MILLISECONDS;
  return Math.min(MAXIMUM_WAIT_MILLISECONDS, Math.ceil(tasksAhead / rate));
}
