import type {Clock} from '@cardamomfield/clock';
import type {HostEntry} from '@cardamomfield/platform';
import {type Either, Right} from 'purify-ts';
import type {CallOutcome} from './call_outcome.js';
import {FaultInjector} from './fault_injector.js';

interface Version {
  /** Monotonic time of the change. */
  changedAt: number;
  hosts: HostEntry[];
}

interface HostListServiceOptions {
  clock: Clock;
  hosts?: readonly HostEntry[];
  lagMilliseconds?: number;
}

/** In-process implementation of the host list, without a transport. */
export class HostListService {
  readonly faults: FaultInjector;
  private versions: Version[];

  private constructor(
    private readonly clock: Clock,
    hosts: readonly HostEntry[],
    private lag: number,
  ) {
    this.faults = FaultInjector.create({clock});
    this.versions = [{changedAt: -Infinity, hosts: [...hosts]}];
  }

  static create(options: HostListServiceOptions): HostListService {
    const {clock, hosts = [], lagMilliseconds = 0} = options;
    return new HostListService(clock, hosts, lagMilliseconds);
  }

  /** Sets the time between a change and its appearance in the list. */
  setLag(milliseconds: number): void {
    this.lag = milliseconds;
  }

  /** Adds a host, or replaces the entry of the same name. */
  put(entry: HostEntry): void {
    const others = this.latest().filter(host => host.name !== entry.name);
    this.addVersion([...others, entry]);
  }

  remove(name: string): void {
    this.addVersion(this.latest().filter(host => host.name !== name));
  }

  /** Returns the list as it was before the lag time. */
  list(): Promise<CallOutcome<Either<never, HostEntry[]>>> {
    return this.faults.call(false, () => Right(this.visible()));
  }

  private addVersion(hosts: HostEntry[]): void {
    const changedAt = this.clock.monotonicNow();
    this.versions.push({changedAt, hosts});
  }

  private latest(): HostEntry[] {
    return this.versions.at(-1)!.hosts;
  }

  private visible(): HostEntry[] {
    const instant = this.clock.monotonicNow() - this.lag;
    return this.versions.findLast(version => version.changedAt <= instant)!
      .hosts;
  }
}
