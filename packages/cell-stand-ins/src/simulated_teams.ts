import type {DesiredState, Team} from '@cardamomfield/cell-model';
import type {RandomSource} from '@cardamomfield/clock';

/** Longest time until a host follows a new version of the desired state. */
const LONGEST_DELAY_MILLISECONDS = 1_500;

/** Numbers of tasks that limits allow. */
const LIMITED_TASK_COUNTS = [1, 2, 3, 5, 8];

/** Limits under which every gang and step can run. */
const FINAL_TASK_COUNT = 12;

/** Share of the submissions that the hot team sends. */
const HOT_SHARE = 0.6;

interface Version {
  /** Virtual time from which it is in force. */
  at: number;
  state: DesiredState;
  /** Virtual time at which each host follows it. */
  followedAt: Map<string, number>;
}

interface SimulatedTeamsOptions {
  now: () => number;
  random: RandomSource;
  hostNames: readonly string[];
  /** Needs of one task, in which limits are drawn. */
  milliCores: number;
  memoryMegabytes: number;
}

/** Teams whose limits change, and what each host knows of them. */
export class SimulatedTeams {
  private readonly versions: Version[] = [];

  private constructor(private readonly options: SimulatedTeamsOptions) {}

  static create(options: SimulatedTeamsOptions): SimulatedTeams {
    const teams = new SimulatedTeams(options);
    teams.publish(() => teams.drawTaskCount());
    return teams;
  }

  /** Changes the limits of all teams. */
  change(): void {
    this.publish(() => this.drawTaskCount());
  }

  /** Raises the limits so that all waiting work can end. */
  raise(): void {
    this.publish(() => FINAL_TASK_COUNT);
  }

  /** The desired state that a host follows now. */
  stateOf(hostName: string): DesiredState | undefined {
    const now = this.options.now();
    return this.versions.findLast(
      ({followedAt}) => (followedAt.get(hostName) ?? -Infinity) <= now,
    )?.state;
  }

  /** The team of the next submission. */
  draw(): string {
    const {random} = this.options;
    if (random.fraction() < HOT_SHARE) return 'hot';
    return random.fraction() < 0.5 ? 'memory' : 'small';
  }

  /** The highest limit that was in force since a time; Infinity for none. */
  highestLimit(
    team: string,
    resource: 'milliCores' | 'memoryMegabytes',
    since: number,
  ): number {
    let highest = 0;
    for (const [index, {state}] of this.versions.entries()) {
      const endedAt = this.versions[index + 1]?.at ?? Infinity;
      if (endedAt < since) continue;
      const limit = state.teams?.find(({name}) => name === team)?.limit;
      highest = Math.max(highest, limit?.[resource] || Infinity);
    }
    return highest;
  }

  private drawDelay(): number {
    if (this.versions.length === 0) return 0;
    return this.options.random.integerBelow(LONGEST_DELAY_MILLISECONDS);
  }

  private publish(taskCount: () => number): void {
    const {now, hostNames, milliCores, memoryMegabytes} = this.options;
    const teams: Team[] = ['hot', 'memory', 'small'].map(name => ({
      name,
      keys: [name],
      weight: 1,
      limit: {
        milliCores: name === 'memory' ? 0 : milliCores * taskCount(),
        memoryMegabytes: name === 'small' ? 0 : memoryMegabytes * taskCount(),
        accelerators: 0,
      },
    }));
    this.versions.push({
      at: now(),
      state: {
        version: this.versions.length + 1,
        queues: [],
        services: [],
        maximumBodyBytes: 0,
        teams,
      },
      followedAt: new Map(
        hostNames.map(name => [name, now() + this.drawDelay()]),
      ),
    });
  }

  private drawTaskCount(): number {
    const {random} = this.options;
    const index = random.integerBelow(LIMITED_TASK_COUNTS.length);
    return LIMITED_TASK_COUNTS[index]!;
  }
}
