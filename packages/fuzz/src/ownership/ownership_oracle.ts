import type {SimulatedHost} from './simulated_host.js';

/** Checks the guarantees of ownership over all hosts at one instant. */
export class OwnershipOracle {
  violation: string | undefined;
  private readonly effectiveEpochs = new Map<string, number>();
  private readonly statesByOffset = new Map<number, string>();
  private readonly checkedOffsets = new Map<string, number>();

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
    for (const host of this.hosts) this.checkState(host);
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
      const effectiveEpoch = this.effectiveEpochs.get(group) ?? -1;
      this.effectiveEpochs.set(
        group,
        Math.max(effectiveEpoch, authority.epoch),
      );
      if (authority.isHeld()) held.push({name, epoch: authority.epoch});
    }
    if (held.length > 1) {
      this.violation = `two holders of ${group}: ${JSON.stringify(held)}`;
      return;
    }
    const [holder] = held;
    const effectiveEpoch = this.effectiveEpochs.get(group) ?? -1;
    if (holder && holder.epoch < effectiveEpoch) {
      this.violation =
        `${holder.name} holds ${group} under epoch ${holder.epoch} ` +
        `after epoch ${effectiveEpoch} took effect`;
    }
  }

  private checkState(host: SimulatedHost): void {
    const {manager, name, stream} = host;
    if (!manager || !stream) return;
    const offset = stream.nextOffset();
    if (this.checkedOffsets.get(name) === offset) return;
    this.checkedOffsets.set(name, offset);
    const {claims, voters} = stream.state();
    const text = JSON.stringify({voters, claims: [...claims]});
    const known = this.statesByOffset.get(offset) ?? text;
    this.statesByOffset.set(offset, known);
    if (known !== text) {
      this.violation = `${name} has a diverging state at offset ${offset}`;
    }
  }
}
