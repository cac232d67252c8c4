import {
  type ConfigurationState,
  RESOURCE_NAMES,
  type ResourceVector,
  type WorkKind,
} from '@cardamomfield/types';
import type {NeverRunnable} from './never_runnable.js';

/** The properties of a job that decide whether it can ever run. */
interface JobShape {
  service: string;
  kind: WorkKind;
  demand: ResourceVector;
  taskCount: number;
}

/** Workers of equal capacity; an inventory has few distinct capacities. */
interface WorkerShape {
  capacity: ResourceVector;
  count: number;
}

type ResourceName = (typeof RESOURCE_NAMES)[number];

/** Worker shapes by service, computed once for each configuration. */
const shapesByConfiguration = new WeakMap<
  ConfigurationState,
  Map<string, WorkerShape[]>
>();

/**
 * Returns the reason why a job can never run on the inventory, even if every
 * worker is idle, or undefined if it can. Leaving workers do not count.
 */
export function findNeverRunnable(
  job: JobShape,
  configuration: ConfigurationState,
): NeverRunnable | undefined {
  const shapes = groupByShape(configuration).get(job.service) ?? [];
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
  const largestOffer = findLargestOffer(resource, job, shapes);
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
  const largestOffer = countFittingTasks(job, shapes, RESOURCE_NAMES);
  if (largestOffer >= job.taskCount) return undefined;
  const resource = [...RESOURCE_NAMES].sort(
    (a, b) =>
      countFittingTasks(job, shapes, [a]) - countFittingTasks(job, shapes, [b]),
  )[0]!;
  const demanded = job.taskCount;
  const message =
    `the gang needs ${demanded} tasks at once, but ${resource} of all workers ` +
    `for service ${job.service} suffices for ${largestOffer}`;
  return {reason: 'gang-too-large', resource, demanded, largestOffer, message};
}

/** Number of tasks that fit simultaneously, by the given resources alone. */
function countFittingTasks(
  job: JobShape,
  shapes: WorkerShape[],
  resources: readonly ResourceName[],
): number {
  let sum = 0;
  for (const {capacity, count} of shapes) {
    let perWorker = Infinity;
    for (const name of resources) {
      const demand = job.demand[name];
      if (demand === 0) continue;
      perWorker = Math.min(perWorker, Math.floor(capacity[name] / demand));
    }
    sum += perWorker * count;
  }
  return sum;
}

/**
 * Returns a resource that no worker has enough of. If each resource suffices
 * on some worker, returns one that the worker short of the fewest resources
 * lacks.
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

/**
 * Largest capacity of the resource among the workers that have enough of all
 * other resources, or among all workers if there are none of these.
 */
function findLargestOffer(
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

function groupByShape(
  configuration: ConfigurationState,
): Map<string, WorkerShape[]> {
  const cached = shapesByConfiguration.get(configuration);
  if (cached) return cached;
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
  shapesByConfiguration.set(configuration, result);
  return result;
}
