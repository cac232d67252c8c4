import type {StepSpecification} from '@cardamomfield/cell-model';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import type {WorkerState} from './worker_state.js';

/** Capacity of a worker that becomes free or is taken at a time. */
interface Release {
  /** Time from the pass on, in milliseconds. */
  at: number;
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
}

/** The capacity that a task needs. */
type Need = Omit<Release, 'at'>;

/** What is free on a worker now and when more becomes free, earliest first. */
interface Timeline {
  worker: WorkerState;
  /** Negative if capacity that is freed later is already claimed. */
  free: Release;
  releases: Release[];
  /** The last answer of `freeFrom`, until a place is taken or given up. */
  known: Release | undefined;
}

/** A place that a waiting task is expected to get. */
interface Place {
  timeline: Timeline;
  at: number;
  endsAt: number;
}

/** Tasks that want places in a rack. */
interface PlaceRequest {
  step: StepState;
  count: number;
  /** Run time on a worker like the others. */
  runMilliseconds: number;
  /** Places that become free later than this are of no use. */
  horizonMilliseconds: number;
  /** Runs that end later than this are of no use. */
  latestEndMilliseconds: number;
  /** Expected factor on run times; undefined if the worker is not suitable. */
  factorOf: (worker: WorkerState) => number | undefined;
  /** Whether the worker may take the task at the time from the pass on. */
  isOpenAt: (worker: WorkerState, at: number) => boolean;
  /** Earliest time from the pass on at which the worker takes the task. */
  openFrom: (worker: WorkerState) => number;
}

/** Places that are claimed until the end of the pass. */
interface ClaimedPlaces {
  count: number;
  sumOfEnds: number;
  /** Gives the places up, as if they had not been claimed. */
  release: () => void;
}

/**
 * Expected places in one rack during one pass. Tasks that wait claim theirs, so
 * that the k-th one that wants the rack is told of the k-th place.
 */
export class NearPlaceRack {
  private readonly timelines = new Map<WorkerState, Timeline>();

  private constructor(
    private readonly workers: readonly WorkerState[],
    private readonly remainingOf: (run: Run, worker: WorkerState) => number,
  ) {}

  /** `remainingOf` returns the expected time until a run ends. */
  static create(
    workers: readonly WorkerState[],
    remainingOf: (run: Run, worker: WorkerState) => number,
  ): NearPlaceRack {
    return new NearPlaceRack(workers, remainingOf);
  }

  /** Claims places for as many of the tasks as have use for one. */
  claim(request: PlaceRequest): ClaimedPlaces {
    const undo: Array<() => void> = [];
    const counts = new Map<WorkerState, number>();
    const suitable = this.suitable(request);
    const need = needOf(request.step.specification);
    let sumOfEnds = 0;
    while (undo.length < request.count) {
      const place = earliestPlace(request, need, suitable, counts);
      if (!place || place.endsAt > request.latestEndMilliseconds) break;
      sumOfEnds += place.endsAt;
      const {worker} = place.timeline;
      counts.set(worker, (counts.get(worker) ?? 0) + 1);
      undo.push(take(place, need));
    }
    const count = undo.length;
    const release = () => {
      while (undo.length > 0) undo.pop()?.();
    };
    return {count, sumOfEnds, release};
  }

  private suitable(
    request: PlaceRequest,
  ): Array<{timeline: Timeline; factor: number; openFrom: number}> {
    const suitable = [];
    for (const worker of this.workers) {
      const factor = request.factorOf(worker);
      if (factor === undefined) continue;
      const openFrom = request.openFrom(worker);
      suitable.push({timeline: this.timelineOf(worker), factor, openFrom});
    }
    return suitable;
  }

  private timelineOf(worker: WorkerState): Timeline {
    const known = this.timelines.get(worker);
    if (known) return known;
    const releases: Release[] = [];
    for (const run of worker.runs.values()) {
      const {milliCores, memoryMegabytes, accelerators} = run;
      const at = this.remainingOf(run, worker);
      if (at === Infinity) continue;
      releases.push({at, milliCores, memoryMegabytes, accelerators});
    }
    releases.sort((a, b) => a.at - b.at);
    const free = {
      at: 0,
      milliCores: worker.freeMilliCores,
      memoryMegabytes: worker.freeMemoryMegabytes,
      accelerators: worker.freeAccelerators,
    };
    const timeline = {worker, free, releases, known: undefined};
    this.timelines.set(worker, timeline);
    return timeline;
  }
}

/** The place whose run ends first. */
function earliestPlace(
  request: PlaceRequest,
  need: Need,
  suitable: Array<{timeline: Timeline; factor: number; openFrom: number}>,
  counts: ReadonlyMap<WorkerState, number>,
): Place | undefined {
  const {step, runMilliseconds, horizonMilliseconds} = request;
  const {specification} = step;
  let best: Place | undefined;
  for (const {timeline, factor, openFrom} of suitable) {
    const {worker} = timeline;
    const {maximumPerWorker} = specification;
    if (maximumPerWorker > 0) {
      const placed = step.countOn(worker) + (counts.get(worker) ?? 0);
      if (placed >= maximumPerWorker) continue;
    }
    const at = Math.max(openFrom, freeFrom(timeline, need));
    if (at > horizonMilliseconds || !request.isOpenAt(worker, at)) continue;
    const endsAt = at + factor * runMilliseconds;
    if (!best || endsAt < best.endsAt) best = {timeline, at, endsAt};
    // No other place ends earlier.
    if (best.endsAt <= runMilliseconds) break;
  }
  return best;
}

/** Time at which the worker has capacity for a task; Infinity if never. */
function freeFrom(timeline: Timeline, need: Need): number {
  const {known} = timeline;
  if (
    known?.milliCores === need.milliCores &&
    known.memoryMegabytes === need.memoryMegabytes &&
    known.accelerators === need.accelerators
  ) {
    return known.at;
  }
  const at = findFreeFrom(timeline, need);
  timeline.known = {...need, at};
  return at;
}

function findFreeFrom({free, releases}: Timeline, need: Need): number {
  let {milliCores, memoryMegabytes, accelerators} = free;
  const fits = () =>
    milliCores >= need.milliCores &&
    memoryMegabytes >= need.memoryMegabytes &&
    accelerators >= need.accelerators;
  if (fits()) return 0;
  for (const release of releases) {
    milliCores += release.milliCores;
    memoryMegabytes += release.memoryMegabytes;
    accelerators += release.accelerators;
    if (fits()) return release.at;
  }
  return Infinity;
}

/** Takes a place until its run ends. Returns what reverses it. */
function take(place: Place, need: Need): () => void {
  const {timeline} = place;
  const {free, releases} = timeline;
  free.milliCores -= need.milliCores;
  free.memoryMegabytes -= need.memoryMegabytes;
  free.accelerators -= need.accelerators;
  const release: Release = {...need, at: place.endsAt};
  const later = releases.findIndex(({at}) => at > release.at);
  releases.splice(later < 0 ? releases.length : later, 0, release);
  timeline.known = undefined;
  return () => {
    timeline.known = undefined;
    free.milliCores += need.milliCores;
    free.memoryMegabytes += need.memoryMegabytes;
    free.accelerators += need.accelerators;
    releases.splice(releases.indexOf(release), 1);
  };
}

function needOf({
  milliCores,
  memoryMegabytes,
  accelerators,
  usesSpareCapacity,
}: StepSpecification): Need {
  return {
    milliCores: usesSpareCapacity ? 0 : milliCores,
    memoryMegabytes,
    accelerators,
  };
}
