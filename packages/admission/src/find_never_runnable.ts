import {
  type ConfigurationState,
  RESOURCE_NAMES,
  type ResourceVector,
  type WorkKind,
} from '@cardamomfield/types';
import type {NeverRunnable} from './never_runnable.js';

/** The part of a job that decides whether it can ever run. */
interface JobShape {
  service: string;
  kind: WorkKind;
  demand: ResourceVector;
  taskCount: number;
}

/** Workers of equal capacity; an inventory has few different sizes. */
interface WorkerShape {
  capacity: ResourceVector;
  count: number;
}

type ResourceName = (typeof RESOURCE_NAMES)[number];

/** Worker shapes by service, computed once for each configuration. */
const shapesOf = new WeakMap<ConfigurationState, Map<string, WorkerShape[]>>();

/**
 * Tells why a job can never run on the inventory, even when every worker is
 * empty, or returns nothing. Leaving workers do not count.
 */
export function findNeverRunnable(
  job: JobShape,
  configuration: ConfigurationState,
): NeverRunnable | undefined {
  const shapes = workerShapes(configuration).get(job.service) ?? [];
  if (shapes.length === 0) {
    const message = `no active worker offers service ${job.service}`;
    return {reason: 'no-worker', message};
  }
  return findTooLargeTask(job, shapes) ?? findTooLargeGang(job, shapes);
}

function findTooLargeTask(
  job: JobShape,
  shapes: WorkerShape[],
): NeverRunnable | undefined {
  if (shapes.some(shape => fits(job.demand, shape.capacity))) return undefined;
  const resource = scarcestResource(job, shapes);
  const demanded = job.demand[resource];
  const largestOffer = largestOfferOf(resource, job, shapes);
  const message =
    `a task needs ${demanded} ${resource}, but the largest offer for ` +
    `service ${job.service} is ${largestOffer}`;
  return {reason: 'task-too-large', resource, demanded, largestOffer, message};
}

function findTooLargeGang(
  job: JobShape,
  shapes: WorkerShape[],
): NeverRunnable | undefined {
  if (job.kind !== 'gang') return undefined;
  const largestOffer = places(job, shapes, RESOURCE_NAMES);
  if (largestOffer >= job.taskCount) return undefined;
  const resource = [...RESOURCE_NAMES].sort(
    (a, b) => places(job, shapes, [a]) - places(job, shapes, [b]),
  )[0]!;
  const demanded = job.taskCount;
  const message =
    `the gang needs ${demanded} tasks at once, but ${resource} of all workers ` +
    `for service ${job.service} suffices for ${largestOffer}`;
  return {reason: 'gang-too-large', resource, demanded, largestOffer, message};
}

/** Number of tasks that fit at once by the given resources. */
function places(
  job: JobShape,
  shapes: WorkerShape[],
  resources: readonly ResourceName[],
): number {
  let sum = 0;
  for (const {capacity, count} of shapes) {
    let onWorker = Infinity;
    for (const name of resources) {
      const demand = job.demand[name];
      if (demand === 0) continue;
      onWorker = Math.min(onWorker, Math.floor(capacity[name] / demand));
    }
    sum += onWorker * count;
  }
  return sum;
}

/**
 * The resource that no worker has enough of; when each alone suffices on some
 * worker, the one that is missing on the worker that lacks the fewest.
 */
function scarcestResource(job: JobShape, shapes: WorkerShape[]): ResourceName {
  for (const name of RESOURCE_NAMES) {
    if (shapes.every(s => s.capacity[name] < job.demand[name])) return name;
  }
  const lacking = shapes
    .map(shape => RESOURCE_NAMES.filter(n => shape.capacity[n] < job.demand[n]))
    .sort((a, b) => a.length - b.length);
  return lacking[0]![0]!;
}

/** Looks first at the workers that have enough of everything else. */
function largestOfferOf(
  resource: ResourceName,
  job: JobShape,
  shapes: WorkerShape[],
): number {
  const others = {...job.demand, [resource]: 0};
  const suitable = shapes.filter(shape => fits(others, shape.capacity));
  const compared = suitable.length > 0 ? suitable : shapes;
  return Math.max(...compared.map(shape => shape.capacity[resource]));
}

function fits(demand: ResourceVector, capacity: ResourceVector): boolean {
  return RESOURCE_NAMES.every(name => demand[name] <= capacity[name]);
}

function workerShapes(
  configuration: ConfigurationState,
): Map<string, WorkerShape[]> {
  const known = shapesOf.get(configuration);
  if (known) return known;
  const byService = new Map<string, Map<string, WorkerShape>>();
  for (const worker of Object.values(configuration.workers)) {
    if (worker.state !== 'active') continue;
    for (const service of worker.services) {
      const shapes = byService.get(service) ?? new Map<string, WorkerShape>();
      byService.set(service, shapes);
      const {capacity} = worker;
      const size = RESOURCE_NAMES.map(name => capacity[name]).join(' ');
      const shape = shapes.get(size) ?? {capacity, count: 0};
      shape.count++;
      shapes.set(size, shape);
    }
  }
  const result = new Map(
    [...byService].map(([service, shapes]) => [service, [...shapes.values()]]),
  );
  shapesOf.set(configuration, result);
  return result;
}
