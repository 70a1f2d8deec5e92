import type { DecisionBasis } from './DecisionBasis.js';
import type { NodeServices } from './NodeServices.js';

/** Digits after the point of values that are not times. */
const DIGITS = 3;

/** The configuration in force and since when, in monotonic milliseconds. */
export interface ConfigurationInForce {
  readonly version: number;
  readonly adoptedMs: number;
}

type Readings = Readonly<Record<string, number | undefined>>;

/**
 * Measures how old the beliefs behind a decision are, for its log line. Beliefs that the node does not have are left out.
 * @param services - Decision modules of one process.
 * @param inForce - Configuration in force.
 * @param basis - What took part in the decision.
 * @param nowMs - Monotonic time, in milliseconds.
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
