import { collectDefaultMetrics, Counter, Gauge, Registry } from 'prom-client';
import type { LatencyHistogram } from '../metrics/index.js';

/** Sources of the metrics. */
export interface MetricsSources {
  readonly readHostCounters: () => Readonly<Record<string, number>>;
  readonly readDecisionCounters: () => Readonly<Record<string, number>>;
  readonly readGauges: () => Readonly<Record<string, number>>;
  readonly latencies: Readonly<Record<string, LatencyHistogram>>;
}

const PREFIX = 'tanagerpond_';

/**
 * Resolution of the event loop delay, in milliseconds. The library's default of 10 wakes an idle process 100 times a
 * second.
 */
const LAG_PRECISION_MS = 100;

const PERCENTILES = [50, 90, 99, 99.9];

/** Renders the metrics of the process in the Prometheus text format. */
export class MetricsPage {
  readonly #sources: MetricsSources;

  readonly #registry = new Registry();

  readonly #host = this.#createCounter('host_events_total', 'Events of the process host');

  readonly #decisions = this.#createCounter('decisions_total', 'Counters of the decisions');

  readonly #gauges = new Gauge({
    name: `${PREFIX}host_level`,
    help: 'Present levels of the process host',
    labelNames: ['name'],
    registers: [this.#registry],
  });

  readonly #latency = new Gauge({
    name: `${PREFIX}request_duration_ms`,
    help: 'Time from the arrival of a request until its answer, in milliseconds',
    labelNames: ['listener', 'percentile'],
    registers: [this.#registry],
  });

  /** @param sources - Callbacks and histograms that provide the values. */
  constructor(sources: MetricsSources) {
    this.#sources = sources;
    collectDefaultMetrics({
      register: this.#registry,
      prefix: PREFIX,
      eventLoopMonitoringPrecision: LAG_PRECISION_MS,
    });
  }

  /** Renders the current values. */
  render(): Promise<string> {
    const { readHostCounters, readDecisionCounters, readGauges, latencies } = this.#sources;
    replaceCounts(this.#host, readHostCounters());
    replaceCounts(this.#decisions, readDecisionCounters());
    Object.entries(readGauges()).forEach(([name, value]) => this.#gauges.set({ name }, value));
    Object.entries(latencies).forEach(([listener, latency]) => {
      PERCENTILES.forEach((percentile) => {
        this.#latency.set({ listener, percentile }, latency.readPercentile(percentile));
      });
    });
    return this.#registry.metrics();
  }

  #createCounter(name: string, help: string): Counter<'event'> {
    return new Counter({
      name: `${PREFIX}${name}`,
      help,
      labelNames: ['event'],
      registers: [this.#registry],
    });
  }
}

function replaceCounts(counter: Counter<'event'>, counts: Readonly<Record<string, number>>): void {
  counter.reset();
  Object.entries(counts).forEach(([event, value]) => counter.inc({ event }, value));
}
