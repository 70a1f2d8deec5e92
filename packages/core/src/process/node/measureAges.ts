import type { DecisionBasis } from './DecisionBasis.js';
import type { NodeServices } from './NodeServices.js';

/** Number of decimal places for values that are not times. */
const DIGITS = 3;

/** Version of the configuration in force, and the monotonic time of its adoption, in milliseconds. */
export interface ConfigurationInForce {
  readonly version: number;
  readonly adoptedMs: number;
}

type Readings = Readonly<Record<string, number | undefined>>;

/**
 * Measures the age of the data behind a decision, for its log line. Data that the node does not have is left out.
 * @param services - Decision modules of one process.
 * @param inForce - Configuration in force; undefined before the first.
 * @param basis - Data that the decision was based on.
 * @param nowMs - Monotonic time, in milliseconds.
 * @returns Log fields by name: times rounded to milliseconds, other values to three decimal places.
 */
export function measureAges(
  services: NodeServices,
  inForce: ConfigurationInForce | undefined,
  { configuration, list, rateOf, loadOf }: DecisionBasis,
  nowMs: number,
): Readonly<Record<string, number>> {
  const readings: Readings = {
    ...(configuration === undefined ? {} : describeConfiguration(inForce, configuration, nowMs)),
    ...(list === undefined ? {} : { listAgeMs: services.membership.measureListAge(nowMs) }),
    ...(rateOf === undefined ? {} : services.shares.describeShare(rateOf, nowMs)),
    ...(loadOf === undefined ? {} : describeLoad(services, loadOf, nowMs)),
  };
  return Object.fromEntries(
    Object.entries(readings).flatMap(([name, value]) =>
      value === undefined ? [] : [[name, roundReading(name, value)]],
    ),
  );
}

function describeConfiguration(
  inForce: ConfigurationInForce | undefined,
  version: number,
  nowMs: number,
): Readings {
  if (inForce === undefined) {
    return {};
  }
  const configurationAgeMs = nowMs - inForce.adoptedMs;
  return inForce.version === version
    ? { configurationAgeMs }
    : { configurationAgeMs, versionInForce: inForce.version };
}

function describeLoad({ trees, pressure }: NodeServices, service: string, nowMs: number): Readings {
  return { ...(trees?.admission.describe(service, nowMs) ?? pressure.describe(service, nowMs)) };
}

function roundReading(name: string, value: number): number {
  return name.endsWith('Ms') ? Math.round(value) : Number(value.toFixed(DIGITS));
}
