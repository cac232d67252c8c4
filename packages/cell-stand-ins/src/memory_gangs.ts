import type {RandomSource} from '@cardamomfield/clock';

/** One member of a gang's run, as its worker lets others change it. */
interface GangMember {
  /** All members are present, and the run is complete at the given time. */
  complete: (at: number) => void;
  /** Another member has ended, so this one must end too. */
  break: () => void;
}

interface GangRun {
  members: Map<string, GangMember>;
  /** True once a member has ended otherwise than with the whole run. */
  isBroken: boolean;
}

interface MemoryGangsOptions {
  /** The time on the clock of the workers' runs, in milliseconds. */
  now: () => number;
  random: RandomSource;
  /** Number of members of a task's gang; 0 for a task without one. */
  memberCount: (taskName: string) => number;
}

/** Longest time for which a gang works once all of its members are present. */
const MAXIMUM_WORK_MILLISECONDS = 4_000;

/**
 * The gangs that run on a cell's workers. The members of a run work only from
 * the moment at which all of them are present, and end together.
 */
export class MemoryGangs {
  private readonly runs = new Map<string, GangRun>();

  private constructor(private readonly options: MemoryGangsOptions) {}

  static create(options: MemoryGangsOptions): MemoryGangs {
    return new MemoryGangs(options);
  }

  isMember(taskName: string): boolean {
    return this.options.memberCount(taskName) > 0;
  }

  /** Name of a task's gang; of the task itself without one. */
  groupOf(taskName: string): string {
    return this.isMember(taskName) ? stepOf(taskName) : taskName;
  }

  /** Names of all members of a task's gang; of the task alone without one. */
  memberNames(taskName: string): string[] {
    const count = this.options.memberCount(taskName);
    if (count === 0) return [taskName];
    const step = stepOf(taskName);
    return Array.from({length: count}, (_, index) => `${step}.${index}`);
  }

  /** Adds a member that a worker has started. */
  join(taskName: string, attempt: number, member: GangMember): void {
    const key = keyOf(taskName, attempt);
    const run = this.runs.get(key) ?? {members: new Map(), isBroken: false};
    this.runs.set(key, run);
    run.members.set(taskName, member);
    if (run.isBroken) {
      member.break();
    } else if (run.members.size === this.options.memberCount(taskName)) {
      const {now, random} = this.options;
      const at = now() + random.integerBelow(MAXIMUM_WORK_MILLISECONDS);
      for (const present of run.members.values()) present.complete(at);
    }
  }

  /** Breaks the run of a member that has ended otherwise than as done. */
  break(taskName: string, attempt: number): void {
    const run = this.runs.get(keyOf(taskName, attempt));
    if (!run || run.isBroken) return;
    run.isBroken = true;
    for (const member of run.members.values()) member.break();
  }
}

function stepOf(taskName: string): string {
  return taskName.slice(0, taskName.lastIndexOf('.'));
}

function keyOf(taskName: string, attempt: number): string {
  return `${stepOf(taskName)}/${attempt}`;
}
