import type {Clock} from '@cardamomfield/clock';
import type {HostEntry} from '@cardamomfield/platform';
import {type Either, Right} from 'purify-ts';
import type {Exchange} from './exchange.js';
import {FaultGate} from './fault_gate.js';

interface Version {
  /** Monotonic instant of the change. */
  changedAt: number;
  hosts: HostEntry[];
}

interface HostListServiceOptions {
  clock: Clock;
  hosts?: readonly HostEntry[];
  lagMilliseconds?: number;
}

/** The behaviour of the host list, without a transport. */
export class HostListService {
  readonly faults: FaultGate;
  private versions: Version[];

  private constructor(
    private readonly clock: Clock,
    hosts: readonly HostEntry[],
    private lag: number,
  ) {
    this.faults = FaultGate.create({clock});
    this.versions = [{changedAt: -Infinity, hosts: [...hosts]}];
  }

  static create(options: HostListServiceOptions): HostListService {
    const {clock, hosts = [], lagMilliseconds = 0} = options;
    return new HostListService(clock, hosts, lagMilliseconds);
  }

  /** Time between a change and its appearance in the list. */
  setLag(milliseconds: number): void {
    this.lag = milliseconds;
  }

  /** Adds a host or changes its state. */
  put(entry: HostEntry): void {
    const others = this.latest().filter(host => host.name !== entry.name);
    this.change([...others, entry]);
  }

  /** Removes a host. */
  remove(name: string): void {
    this.change(this.latest().filter(host => host.name !== name));
  }

  /** The list as it was one lag ago. */
  list(): Promise<Exchange<Either<never, HostEntry[]>>> {
    return this.faults.exchange(false, () => Right(this.visible()));
  }

  private change(hosts: HostEntry[]): void {
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
