import type {Clock} from '@cardamomfield/clock';
import {
  FIND_TASKS,
  type KnownTask,
  type PeerNetwork,
} from '@cardamomfield/peer-protocol';

/** Time for one host to answer. */
const FIND_TIMEOUT_MILLISECONDS = 2_000;

interface TaskFinderOptions {
  network: PeerNetwork;
  clock: Clock;
  /** Names of all worker groups of the configuration. */
  groups: () => readonly string[];
}

/** A known task and the host that reported it. */
interface FoundTask extends KnownTask {
  reporter: string;
}

interface FindReport {
  tasks: FoundTask[];
  /**
   * Whether the answers cover all worker groups: an owner in effect has read
   * the task lists of each group's workers.
   */
  isComplete: boolean;
}

/** Asks all live hosts which tasks of a request exist. */
export class TaskFinder {
  private constructor(private readonly options: TaskFinderOptions) {}

  static create(options: TaskFinderOptions): TaskFinder {
    return new TaskFinder(options);
  }

  /**
   * Finds the tasks of a request. The absence of a task is conclusive only
   * when the report is complete.
   */
  async find(key: string): Promise<FindReport> {
    const {network, groups} = this.options;
    const hosts = [network.self, ...network.livePeers()];
    const reports = await Promise.all(
      hosts.map(host => this.queryHost(host, key)),
    );
    const coveredGroups = new Set(reports.flatMap(report => report.groups));
    return {
      tasks: reports.flatMap(report => report.tasks),
      isComplete: groups().every(group => coveredGroups.has(group)),
    };
  }

  private async queryHost(
    host: string,
    key: string,
  ): Promise<{tasks: FoundTask[]; groups: string[]}> {
    const {network, clock} = this.options;
    const deadline = clock.monotonicNow() + FIND_TIMEOUT_MILLISECONDS;
    const answer = await network.call(host, FIND_TASKS, {key}, deadline);
    return answer.caseOf({
      Left: () => ({tasks: [], groups: []}),
      Right: found => ({
        tasks: found.tasks.map(task => ({...task, reporter: host})),
        groups: Object.keys(found.groups),
      }),
    });
  }
}
