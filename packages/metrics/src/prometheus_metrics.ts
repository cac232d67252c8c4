import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {Metrics} from './metrics.js';

type Tags = Readonly<Record<string, string>>;

/** Prefix of every exported metric name. */
const NAME_PREFIX = 'cardamomfield_';

/** Upper bounds of the histogram buckets, in milliseconds. */
const BUCKETS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000];

/** Collects measurements for exposition in the Prometheus text format. */
export class PrometheusMetrics implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<string, Counter>();
  private readonly gauges = new Map<string, Gauge>();
  private readonly histograms = new Map<string, Histogram>();

  private constructor() {}

  static create(): PrometheusMetrics {
    return new PrometheusMetrics();
  }

  increment(name: string, by = 1, tags: Tags = {}): void {
    const counter =
      this.counters.get(name) ??
      store(this.counters, name, new Counter(this.describe(name, tags)));
    counter.inc({...tags}, by);
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    const gauge =
      this.gauges.get(name) ??
      store(this.gauges, name, new Gauge(this.describe(name, tags)));
    gauge.set({...tags}, value);
  }

  timing(name: string, milliseconds: number, tags: Tags = {}): void {
    const histogram =
      this.histograms.get(name) ??
      store(
        this.histograms,
        name,
        new Histogram({...this.describe(name, tags), buckets: BUCKETS}),
      );
    histogram.observe({...tags}, milliseconds);
  }

  /** Returns all measurements in the Prometheus text format. */
  render(): Promise<string> {
    return this.registry.metrics();
  }

  private describe(name: string, tags: Tags) {
    return {
      name: `${NAME_PREFIX}${name}`,
      help: name.replaceAll('_', ' '),
      labelNames: Object.keys(tags),
      registers: [this.registry],
    };
  }
}

function store<Item>(items: Map<string, Item>, name: string, item: Item): Item {
  items.set(name, item);
  return item;
}
