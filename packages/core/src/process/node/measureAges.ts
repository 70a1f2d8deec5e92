import type { DecisionBasis } from './DecisionBasis.js';
import type { NodeServices } from './NodeServices.js';

/** Number of decimal places for values that are not times. */
const DIGITS = 3;

/** Version of the active configuration, and the monotonic time of its adoption, in milliseconds. */
export interface ActiveConfiguration {
  readonly version: number;
  readonly adoptedMs: number;
}

type Readings = Readonly<Record<string, number | undefined>>;

/**
 * Measures the age of the data behind a decision, for its log line. Data that the node does not have is left out.
 * @param services - Decision modules of one process.
 * @param active - Active configuration; undefined before the first.
 * @param basis - Data that the decision was based on.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns Log fields by name: times rounded to milliseconds, other values to three decimal places.
 */
export function measureAges(
  services: NodeServices,
  active: ActiveConfiguration | undefined,
  { configuration, usesVmList, rateWorkspace, loadService }: DecisionBasis,
  nowMs: number,
): Readonly<Record<string, number>> {
  const readings: Readings = {
    ...(configuration === undefined ? {} : describeConfiguration(active, configuration, nowMs)),
    ...(usesVmList === undefined ? {} : { listAgeMs: services.membership.measureListAge(nowMs) }),
    ...(rateWorkspace === undefined
      ? {}
      : services.rateLimiter.describeShare(rateWorkspace, nowMs)),
    ...(loadService === undefined ? {} : describeLoad(services, loadService, nowMs)),
  };
  return Object.fromEntries(
    Object.entries(readings).flatMap(([name, value]) =>
      value === undefined ? [] : [[name, roundReading(name, value)]],
    ),
  );
}

function describeConfiguration(
  active: ActiveConfiguration | undefined,
  version: number,
  nowMs: number,
): Readings {
  if (active === undefined) {
    return {};
  }
  const configurationAgeMs = nowMs - active.adoptedMs;
  return active.version === version
    ? { configurationAgeMs }
    : { configurationAgeMs, versionInForce: active.version };
}

function describeLoad(
  { callTrees, backpressure }: NodeServices,
  service: string,
  nowMs: number,
): Readings {
  return {
    ...(callTrees?.admission.describe(service, nowMs) ?? backpressure.describe(service, nowMs)),
  };
}

function roundReading(name: string, value: number): number {
  return name.endsWith('Ms') ? Math.round(value) : Number(value.toFixed(DIGITS));
}
