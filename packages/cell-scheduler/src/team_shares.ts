import type {ResourceAmounts} from './resource_amounts.js';
import {RESOURCE_NAMES} from './resource_names.js';
import type {Run} from './run.js';
import type {StepState} from './step_state.js';
import type {TeamDirectory} from './team_directory.js';
import {TeamUsage} from './team_usage.js';
import type {WorkerState} from './worker_state.js';

const NO_TEAM = '';

/**
 * Divides the capacity of each service among the teams with work in it, by
 * weight. What a team does not need goes to the others. Work without a team, from
 * queues that need no key, has no weight: it comes before all shares.
 *
 * Load: 20 teams of very different sizes in a cell that is nearly always full.
 * In the order of arrival, the backlog of one hot team precedes all later work
 * of the others.
 */
export class TeamShares {
  /**
   * By service, the amounts of each resource for a weight of 1; a team's share
   * is its weight times this. Infinity where all demand fits.
   */
  private levels = new Map<string, ResourceAmounts>();
  /** Runs that are being stopped, which will soon count no more. */
  private leaving = TeamUsage.create();

  private constructor(
    private readonly usage: TeamUsage,
    private readonly directory: TeamDirectory,
  ) {}

  static create(usage: TeamUsage, directory: TeamDirectory): TeamShares {
    return new TeamShares(usage, directory);
  }

  /** Computes the shares from the running and the waiting work. */
  beginPass(
    ready: readonly StepState[],
    workersByService: ReadonlyMap<string, readonly WorkerState[]>,
  ): void {
    const waiting = sumWaiting(ready);
    this.leaving = TeamUsage.create();
    this.levels = new Map();
    for (const [service, workers] of workersByService) {
      for (const worker of workers) {
        for (const run of worker.runs.values()) {
          if (run.phase === 'stopping') this.leaving.add(run);
        }
      }
      const demands = this.demandsIn(service, waiting.get(service));
      const capacity = sumCapacity(workers);
      const unshared = demands.get(NO_TEAM);
      demands.delete(NO_TEAM);
      for (const name of RESOURCE_NAMES) {
        const rest = capacity[name] - (unshared?.[name] ?? 0);
        capacity[name] = Math.max(0, rest);
      }
      this.levels.set(service, this.levelsOf(demands, capacity));
    }
  }

  /**
   * Number of further tasks of a step that are within its team's share, to which
   * the team's more urgent work comes first. A team without such work may start
   * one task or gang, whatever its size. `expected` counts as used too.
   */
  countWithin(step: StepState, expected?: ResourceAmounts): number {
    const {submission, specification} = step;
    if (submission.team === NO_TEAM) return Infinity;
    const {service, priority} = submission.queue;
    const running = this.usage.usedUpTo(service, submission.team, priority);
    const used = expected ? sumOf(running, expected) : running;
    const share = this.shareOf(service, submission.team);
    let count = Infinity;
    for (const name of RESOURCE_NAMES) {
      const need = specification[name];
      if (need > 0) {
        count = Math.min(count, Math.floor((share[name] - used[name]) / need));
      } else if (used[name] > share[name]) {
        count = 0;
      }
    }
    const isFirst = RESOURCE_NAMES.every(name => used[name] === 0);
    if (specification.isGang) {
      return isFirst || count >= step.tasks.length ? step.tasks.length : 0;
    }
    return Math.max(isFirst ? 1 : 0, count);
  }

  /** Use over share of a team's dominant resource, up to a priority. */
  ratioOf(service: string, team: string, priority: number): number {
    return this.ratio(service, team, priority, false);
  }

  /** Whether a run's team is above its share, runs being stopped aside. */
  isAbove({step}: Run): boolean {
    const {team, queue} = step.submission;
    return this.ratio(queue.service, team, queue.priority, true) > 1;
  }

  /** Records that a run will be stopped. */
  noteVictim(run: Run): void {
    this.leaving.add(run);
  }

  private ratio(
    service: string,
    team: string,
    priority: number,
    leavesOut: boolean,
  ): number {
    if (team === NO_TEAM) return 0;
    const used = this.usage.usedUpTo(service, team, priority);
    const leaving = leavesOut
      ? this.leaving.usedUpTo(service, team, priority)
      : undefined;
    const share = this.shareOf(service, team);
    let highest = 0;
    for (const name of RESOURCE_NAMES) {
      const amount = used[name] - (leaving?.[name] ?? 0);
      if (amount > 0) highest = Math.max(highest, amount / share[name]);
    }
    return highest;
  }

  private shareOf(service: string, team: string): ResourceAmounts {
    const level = this.levels.get(service);
    const weight = this.directory.weightOf(team);
    return {
      milliCores: (level?.milliCores ?? 0) * weight,
      memoryMegabytes: (level?.memoryMegabytes ?? 0) * weight,
      accelerators: (level?.accelerators ?? 0) * weight,
    };
  }

  /** What each team runs and waits for in a service, within its limit. */
  private demandsIn(
    service: string,
    waiting: ReadonlyMap<string, ResourceAmounts> = new Map(),
  ): Map<string, ResourceAmounts> {
    const demands = new Map<string, ResourceAmounts>();
    for (const team of [...this.usage.teamsIn(service), ...waiting.keys()]) {
      if (demands.has(team)) continue;
      const used = this.usage.usedUpTo(service, team, Infinity);
      const limit = this.directory.find(team)?.limit;
      const demand = {milliCores: 0, memoryMegabytes: 0, accelerators: 0};
      for (const name of RESOURCE_NAMES) {
        const most = Math.max(used[name], limit?.[name] || Infinity);
        const wanted = used[name] + (waiting.get(team)?.[name] ?? 0);
        demand[name] = Math.min(wanted, most);
      }
      demands.set(team, demand);
    }
    return demands;
  }

  private levelsOf(
    demands: ReadonlyMap<string, ResourceAmounts>,
    capacity: ResourceAmounts,
  ): ResourceAmounts {
    const levels = {milliCores: 0, memoryMegabytes: 0, accelerators: 0};
    for (const name of RESOURCE_NAMES) {
      const rows = [...demands].map(([team, demand]) => ({
        demand: demand[name],
        weight: this.directory.weightOf(team),
      }));
      levels[name] = waterLevel(rows, capacity[name]);
    }
    return levels;
  }
}

/**
 * The amount for a weight of 1 at which the capacity is used up, if each row
 * gets its weight times this amount but no more than it demands.
 */
function waterLevel(
  rows: Array<{demand: number; weight: number}>,
  capacity: number,
): number {
  rows.sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  let weights = rows.reduce((sum, {weight}) => sum + weight, 0);
  let left = capacity;
  for (const {demand, weight} of rows) {
    if ((demand / weight) * weights > left) return left / weights;
    left -= demand;
    weights -= weight;
  }
  return Infinity;
}

function sumOf(a: ResourceAmounts, b: ResourceAmounts): ResourceAmounts {
  return {
    milliCores: a.milliCores + b.milliCores,
    memoryMegabytes: a.memoryMegabytes + b.memoryMegabytes,
    accelerators: a.accelerators + b.accelerators,
  };
}

/** What the waiting tasks need, by service and team. */
function sumWaiting(
  ready: readonly StepState[],
): Map<string, Map<string, ResourceAmounts>> {
  const services = new Map<string, Map<string, ResourceAmounts>>();
  for (const {submission, specification, tasks} of ready) {
    const {service} = submission.queue;
    const teams = services.get(service) ?? new Map<string, ResourceAmounts>();
    services.set(service, teams);
    const sum = teams.get(submission.team) ?? {
      milliCores: 0,
      memoryMegabytes: 0,
      accelerators: 0,
    };
    teams.set(submission.team, sum);
    let count = 0;
    for (const {phase} of tasks) if (phase === 'waiting') count++;
    for (const name of RESOURCE_NAMES) sum[name] += count * specification[name];
  }
  return services;
}

function sumCapacity(workers: readonly WorkerState[]): ResourceAmounts {
  const sum = {milliCores: 0, memoryMegabytes: 0, accelerators: 0};
  for (const {description, isListed} of workers) {
    if (!isListed || description.state !== 'ready') continue;
    for (const name of RESOURCE_NAMES) sum[name] += description[name];
  }
  return sum;
}
