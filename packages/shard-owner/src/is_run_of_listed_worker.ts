import type {WorkerDescription} from '@cardamomfield/cell-model';
import type {Run} from '@cardamomfield/cell-scheduler';

/**
 * True when the run's incarnation had the listed address and is not newer than
 * the listed one. Then an answer of another worker at that address proves that
 * the run has ended. An entry with another address proves nothing about it.
 */
export function isRunOfListedWorker(
  {task}: Run,
  {address, bornAtUnixMilliseconds}: WorkerDescription,
): boolean {
  return (
    task.workerAddress === address &&
    task.workerBornAt <= bornAtUnixMilliseconds
  );
}
