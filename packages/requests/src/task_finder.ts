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
  /** Whether the task lists of all workers were read by effective owners. */
  isComplete: boolean;
}

/** Asks all hosts which tasks of a request exist. */
export class TaskFinder {
  private constructor(private readonly options: TaskFinderOptions) {}

  static create(options: TaskFinderOptions): TaskFinder {
    return new TaskFinder(options);
  }

  /** Only when the report is complete does an absent task prove anything. */
  async find(key: string): Promise<FindReport> {
    const {network, groups} = this.options;
    const hosts = [network.self, ...network.livePeers()];
    const reports = await Promise.all(hosts.map(host => this.ask(host, key)));
    const covered = new Set(reports.flatMap(report => report.groups));
    return {
      tasks: reports.flatMap(report => report.tasks),
      isComplete: groups().every(group => covered.has(group)),
    };
  }

  private async ask(
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
