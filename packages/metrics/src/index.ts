/** Counters, gauges and histograms sent by StatsD over UDP. */
export {};
