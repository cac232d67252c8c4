import type {Clock} from '@cardamomfield/clock';
import {OwnershipSection, type PeerNetwork} from '@cardamomfield/peer-protocol';
import type {OwnershipSettings} from './ownership_settings.js';

interface HostLivenessOptions {
  incarnation: string;
  clock: Clock;
  network: PeerNetwork;
  settings: OwnershipSettings;
}

/** Failure detector for the other hosts, based on messages received here. */
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
   * Must be called at short intervals. A longer gap means that this process was
   * paused and could not receive messages, so the silence of the other hosts is
   * measured from now on.
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

  /** Milliseconds without a message from the host; reset by a pause here. */
  silence(host: string): number {
    if (host === this.options.network.self) return 0;
    const receivedAt = this.options.network.lastMessageAt(host) ?? -Infinity;
    const since = Math.max(receivedAt, this.observedSince);
    return this.options.clock.monotonicNow() - since;
  }

  isSilent(host: string): boolean {
    return this.silence(host) > this.options.settings.silenceMilliseconds;
  }

  /** Whether the incarnation is presumed dead or was replaced by another. */
  isDown(host: string, incarnation: string): boolean {
    if (host === this.options.network.self) {
      return incarnation !== this.options.incarnation;
    }
    // If a peer still receives messages from the host, only the link to this
    // process failed, and a claim would take groups from a live owner.
    if (this.isSilent(host)) return !this.isLiveForPeers(host);
    const section = this.options.network.latest(host, OwnershipSection);
    return section !== undefined && section.value.incarnation !== incarnation;
  }

  /** Hosts from which messages arrive; published in the heartbeat. */
  liveHosts(): string[] {
    const {network} = this.options;
    return network.livePeers().filter(host => !this.isSilent(host));
  }

  /** Whether the peer is live and reports itself eligible to own groups. */
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
