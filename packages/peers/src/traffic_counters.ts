import type {Metrics} from '@cardamomfield/metrics';

interface Traffic {
  sentBytes: number;
  sentMessages: number;
  receivedBytes: number;
  receivedMessages: number;
}

interface Route {
  peer: string;
  localRegion: string;
  peerRegion: string;
}

/** Bytes and messages by peer and, for cross-region traffic, by region. */
export class TrafficCounters {
  private readonly peers = new Map<string, Traffic>();
  private readonly regions = new Map<string, Traffic>();

  private constructor(private readonly metrics: Metrics) {}

  static create(metrics: Metrics): TrafficCounters {
    return new TrafficCounters(metrics);
  }

  countSent(route: Route, bytes: number): void {
    for (const traffic of this.affectedTotals(route)) {
      traffic.sentBytes += bytes;
      traffic.sentMessages++;
    }
    this.report('sent', route, bytes);
  }

  countReceived(route: Route, bytes: number): void {
    for (const traffic of this.affectedTotals(route)) {
      traffic.receivedBytes += bytes;
      traffic.receivedMessages++;
    }
    this.report('received', route, bytes);
  }

  /** Totals by peer name. */
  byPeer(): Readonly<Record<string, Traffic>> {
    return Object.fromEntries(this.peers);
  }

  /** Totals of traffic to and from other regions, by region name. */
  byOtherRegion(): Readonly<Record<string, Traffic>> {
    return Object.fromEntries(this.regions);
  }

  private affectedTotals(route: Route): Traffic[] {
    const peer = totalsFor(this.peers, route.peer);
    if (route.localRegion === route.peerRegion) return [peer];
    return [peer, totalsFor(this.regions, route.peerRegion)];
  }

  private report(
    direction: 'sent' | 'received',
    {peer, localRegion, peerRegion}: Route,
    bytes: number,
  ): void {
    this.metrics.increment(`peers.${direction}.bytes`, bytes, {peer});
    this.metrics.increment(`peers.${direction}.messages`, 1, {peer});
    if (localRegion === peerRegion) return;
    const tags = {region: localRegion, other_region: peerRegion};
    this.metrics.increment(
      `peers.cross_region.${direction}.bytes`,
      bytes,
      tags,
    );
    this.metrics.increment(`peers.cross_region.${direction}.messages`, 1, tags);
  }
}

function totalsFor(totals: Map<string, Traffic>, name: string): Traffic {
  const existing = totals.get(name);
  if (existing) return existing;
  const traffic = {
    sentBytes: 0,
    sentMessages: 0,
    receivedBytes: 0,
    receivedMessages: 0,
  };
  totals.set(name, traffic);
  return traffic;
}
