import type {Clock} from '@cardamomfield/clock';
import {OwnershipSection, type PeerNetwork} from '@cardamomfield/peer-protocol';
import type {OwnershipSettings} from './ownership_settings.js';

interface HostLivenessOptions {
  incarnation: string;
  clock: Clock;
  network: PeerNetwork;
  settings: OwnershipSettings;
}

/** Which hosts are alive, as far as this process has heard. */
export class HostLiveness {
  private observedSince: number;
  private lastCheckAt: number;

  private constructor(private readonly options: HostLivenessOptions) {
    this.observedSince = options.clock.monotonicNow();
    this.lastCheckAt = this.observedSince;
  }

  static create(options: HostLivenessOptions): HostLiveness {
    return new HostLiveness(options);
  }

  /**
   * Must be called at short intervals. After a gap this process was paused and
   * could not have heard anyone, so silence counts from now on.
   */
  detectPause(): void {
    const now = this.options.clock.monotonicNow();
    if (
      now - this.lastCheckAt >
      this.options.settings.silenceMilliseconds / 2
    ) {
      this.observedSince = now;
    }
    this.lastCheckAt = now;
  }

  /** Milliseconds that a host has been silent while this process listened. */
  silence(host: string): number {
    if (host === this.options.network.self) return 0;
    const receivedAt = this.options.network.lastHeard(host) ?? -Infinity;
    const since = Math.max(receivedAt, this.observedSince);
    return this.options.clock.monotonicNow() - since;
  }

  isSilent(host: string): boolean {
    return this.silence(host) > this.options.settings.silenceMilliseconds;
  }

  /** Whether the incarnation is known to be gone. */
  isDown(host: string, incarnation: string): boolean {
    if (host === this.options.network.self) {
      return incarnation !== this.options.incarnation;
    }
    // Another host may still hear it: then only the link to here is cut, and
    // a claim would take groups from a living owner.
    if (this.isSilent(host)) return !this.isLiveForPeers(host);
    const section = this.options.network.latest(host, OwnershipSection);
    return section !== undefined && section.value.incarnation !== incarnation;
  }

  /** Hosts that this process hears, for its heartbeat. */
  liveHosts(): string[] {
    const {network} = this.options;
    return network.livePeers().filter(host => !this.isSilent(host));
  }

  /** Whether a peer may be chosen as the owner of groups. */
  isEligible(host: string): boolean {
    if (this.isSilent(host)) return false;
    const section = this.options.network.latest(host, OwnershipSection);
    return section?.value.isEligible ?? false;
  }

  private isLiveForPeers(host: string): boolean {
    return this.liveHosts().some(peer => {
      const section = this.options.network.latest(peer, OwnershipSection);
      return section?.value.hears.includes(host) ?? false;
    });
  }
}
