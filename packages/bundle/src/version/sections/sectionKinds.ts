import type * as z from 'zod';
import { fleetSchema } from '../fleetSchema.js';
import { routeSchema } from '../routeSchema.js';
import { serviceSchema } from '../serviceSchema.js';
import { workspaceSchema } from '../workspaceSchema.js';
import {
  parseDuration,
  parseList,
  parseNumber,
  parseSize,
  parseBoolean,
  parseText,
  type ValueParser,
} from './parseValue.js';

/** How one key of a section kind is parsed. */
export interface KeyRule {
  /** Field of the schema to which the value is assigned. */
  readonly field: string;
  readonly parse: ValueParser;
  /** Default value; a key without this property is required. */
  readonly fallback?: unknown;
}

/** Syntax and schema of the sections of one file. */
export interface SectionKind<T> {
  /** First word of the section header. */
  readonly keyword: string;
  /** Pattern of the name, the second word of the header; absent when the section has no name. */
  readonly namePattern?: RegExp;
  /** Description of a valid header, for problems. */
  readonly nameExpected?: string;
  readonly keys: Readonly<Record<string, KeyRule>>;
  readonly schema: z.ZodType<T>;
}

const KIBIBYTE = 1_024;
const NAME_RULE = 'lower-case letters, digits and hyphens, beginning with a letter, at most 64';

export const FLEET_KIND = {
  keyword: 'fleet',
  keys: {
    'max-vms': { field: 'maxVms', parse: parseNumber },
    'share-lease': { field: 'shareLeaseMs', parse: parseDuration, fallback: 3_000 },
    'extra-attempts': { field: 'extraAttempts', parse: parseNumber, fallback: 3 },
    'max-depth': { field: 'maxDepth', parse: parseNumber, fallback: 17 },
    'ticket-life': { field: 'ticketLifeMs', parse: parseDuration, fallback: 300_000 },
    'default-deadline': { field: 'defaultDeadlineMs', parse: parseDuration, fallback: 5_000 },
    'max-deadline': { field: 'maxDeadlineMs', parse: parseDuration, fallback: 30_000 },
    'poison-block': { field: 'poisonBlockMs', parse: parseDuration, fallback: 600_000 },
  },
  schema: fleetSchema,
} as const satisfies SectionKind<z.infer<typeof fleetSchema>>;

export const WORKSPACE_KIND = {
  keyword: 'workspace',
  namePattern: /^[a-z][a-z0-9-]{0,63}$/,
  nameExpected: `[workspace NAME] with ${NAME_RULE}`,
  keys: {
    rate: { field: 'rate', parse: parseNumber },
    burst: { field: 'burst', parse: parseNumber },
    weight: { field: 'weight', parse: parseNumber, fallback: 1 },
    'key-digests': { field: 'keyDigests', parse: parseList, fallback: [] },
    open: { field: 'open', parse: parseBoolean, fallback: false },
    priority: { field: 'priority', parse: parseNumber, fallback: undefined },
  },
  schema: workspaceSchema,
} as const satisfies SectionKind<z.infer<typeof workspaceSchema>>;

export const SERVICE_KIND = {
  keyword: 'service',
  namePattern: /^[a-z][a-z0-9-]{0,63}$/,
  nameExpected: `[service NAME] with ${NAME_RULE}`,
  keys: {
    slots: { field: 'slots', parse: parseNumber },
    connections: { field: 'connections', parse: parseNumber },
    queue: { field: 'queue', parse: parseNumber },
  },
  schema: serviceSchema,
} as const satisfies SectionKind<z.infer<typeof serviceSchema>>;

export const ROUTE_KIND = {
  keyword: 'route',
  namePattern: /^[a-z][a-z0-9-]{0,63}\.[a-z][a-z0-9-]{0,63}$/,
  nameExpected: `[route SERVICE.NAME], each with ${NAME_RULE}`,
  keys: {
    method: { field: 'method', parse: parseText },
    path: { field: 'path', parse: parseText },
    priority: { field: 'priority', parse: parseNumber, fallback: 2 },
    open: { field: 'open', parse: parseBoolean, fallback: false },
    repeatable: { field: 'repeatable', parse: parseBoolean },
    calls: { field: 'calls', parse: parseList, fallback: [] },
    cost: { field: 'cost', parse: parseNumber, fallback: 1 },
    'max-body': { field: 'maxBody', parse: parseSize, fallback: 64 * KIBIBYTE },
    'max-answer': { field: 'maxAnswer', parse: parseSize, fallback: 1_024 * KIBIBYTE },
    timeout: { field: 'timeoutMs', parse: parseDuration, fallback: undefined },
    'max-attempts': { field: 'maxAttempts', parse: parseNumber, fallback: undefined },
  },
  schema: routeSchema,
} as const satisfies SectionKind<z.infer<typeof routeSchema>>;
