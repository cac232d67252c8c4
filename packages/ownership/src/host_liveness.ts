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
  private lastLook: number;

  private constructor(private readonly options: HostLivenessOptions) {
    this.observedSince = options.clock.monotonicNow();
    this.lastLook = this.observedSince;
  }

  static create(options: HostLivenessOptions): HostLiveness {
    return new HostLiveness(options);
  }

  /**
   * Must be called at short intervals. After a gap this process was paused and
   * could not have heard anyone, so silence counts from now on.
   */
  look(): void {
    const now = this.options.clock.monotonicNow();
    if (now - this.lastLook > this.options.settings.silenceMilliseconds / 2) {
      this.observedSince = now;
    }
    this.lastLook = now;
  }

  /** Milliseconds that a host has been silent while this process listened. */
  silence(host: string): number {
    if (host === this.options.network.self) return 0;
    const heard = this.options.network.lastHeard(host) ?? -Infinity;
    const since = Math.max(heard, this.observedSince);
    return this.options.clock.monotonicNow() - since;
  }

  isSilent(host: string): boolean {
    return this.silence(host) > this.options.settings.silenceMilliseconds;
  }

  /** Whether the incarnation is known to be gone. */
  isGone(host: string, incarnation: string): boolean {
    if (host === this.options.network.self) {
      return incarnation !== this.options.incarnation;
    }
    if (this.isSilent(host)) return true;
    const section = this.options.network.latest(host, OwnershipSection);
    return section !== undefined && section.value.incarnation !== incarnation;
  }

  /** Whether a peer may be chosen as the owner of groups. */
  isEligible(host: string): boolean {
    if (this.isSilent(host)) return false;
    const section = this.options.network.latest(host, OwnershipSection);
    return section?.value.isEligible ?? false;
  }
}
