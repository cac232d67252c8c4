import type {SimulatedHost} from './simulated_host.js';

/** Checks the guarantees of ownership over all hosts at one instant. */
export class OwnershipOracle {
  violation: string | undefined;
  private readonly effective = new Map<string, number>();
  private readonly folds = new Map<number, string>();
  private readonly seenOffsets = new Map<string, number>();

  private constructor(
    private readonly hosts: readonly SimulatedHost[],
    private readonly groups: readonly string[],
  ) {}

  static create(
    hosts: readonly SimulatedHost[],
    groups: readonly string[],
  ): OwnershipOracle {
    return new OwnershipOracle(hosts, groups);
  }

  check(): void {
    if (this.violation) return;
    for (const group of this.groups) this.checkGroup(group);
    for (const host of this.hosts) this.checkFold(host);
  }

  /** Hosts that hold authority over a group now. */
  holders(group: string): string[] {
    return this.hosts
      .filter(host => host.manager?.authority(group)?.isHeld())
      .map(host => host.name);
  }

  private checkGroup(group: string): void {
    const held: Array<{name: string; epoch: number}> = [];
    for (const {manager, name} of this.hosts) {
      const authority = manager?.authority(group);
      if (!authority) continue;
      const effective = this.effective.get(group) ?? -1;
      this.effective.set(group, Math.max(effective, authority.epoch));
      if (authority.isHeld()) held.push({name, epoch: authority.epoch});
    }
    if (held.length > 1) {
      this.violation = `two holders of ${group}: ${JSON.stringify(held)}`;
      return;
    }
    const [holder] = held;
    const effective = this.effective.get(group) ?? -1;
    if (holder && holder.epoch < effective) {
      this.violation =
        `${holder.name} holds ${group} under epoch ${holder.epoch} ` +
        `after epoch ${effective} took effect`;
    }
  }

  private checkFold(host: SimulatedHost): void {
    const {manager, name, stream} = host;
    if (!manager || !stream) return;
    const offset = stream.nextOffset();
    if (this.seenOffsets.get(name) === offset) return;
    this.seenOffsets.set(name, offset);
    const {claims, voters} = stream.state();
    const text = JSON.stringify({voters, claims: [...claims]});
    const known = this.folds.get(offset) ?? text;
    this.folds.set(offset, known);
    if (known !== text) {
      this.violation = `${name} has another state at offset ${offset}`;
    }
  }
}
