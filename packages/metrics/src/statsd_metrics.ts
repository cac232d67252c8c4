import {StatsD} from 'hot-shots';
import type {Metrics} from './metrics.js';

type Tags = Readonly<Record<string, string>>;

/** Prefix of every metric name on the wire. */
const NAME_PREFIX = 'cardamomfield.';

/** Packet size at which the buffer is sent; fits one Ethernet frame. */
const MAXIMUM_PACKET_BYTES = 1_400;

interface StatsdMetricsOptions {
  /** IP address of the StatsD agent. */
  address: string;
  port: number;
  /** Labels added to every measurement. */
  tags: Tags;
}

/** Sends measurements to a StatsD agent over UDP; losses are ignored. */
export class StatsdMetrics implements Metrics {
  private constructor(private readonly client: StatsD) {}

  static create(options: StatsdMetricsOptions): StatsdMetrics {
    const client = new StatsD({
      host: options.address,
      port: options.port,
      prefix: NAME_PREFIX,
      globalTags: {...options.tags},
      maxBufferSize: MAXIMUM_PACKET_BYTES,
      errorHandler: () => {},
    });
    return new StatsdMetrics(client);
  }

  increment(name: string, by = 1, tags: Tags = {}): void {
    this.client.increment(name, by, {...tags});
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    this.client.gauge(name, value, {...tags});
  }

  timing(name: string, milliseconds: number, tags: Tags = {}): void {
    this.client.timing(name, milliseconds, {...tags});
  }

  /** Flushes the buffer and closes the socket. */
  close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}
