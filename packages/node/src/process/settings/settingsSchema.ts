import { isIP } from 'node:net';
import * as z from 'zod';

const MEBIBYTE = 1024 * 1024;

/** Address written as `IP:port`; port 0 selects any free port. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/**
 * Schema of the settings of a node: the sections of the INI file, with keys in camel case and values as text. Sizes are
 * in bytes, times in milliseconds.
 */
export const settingsSchema = z.strictObject({
  vm: z.strictObject({
    name: createName(),
    service: createName(),
    failureDomain: createName(),
  }),
  listen: z.strictObject({
    caller: createAddress(),
    egress: createAddress().refine(isLoopback, 'a loopback address as IP:port'),
    peer: createAddress(),
    admin: createAddress().refine(isLoopback, 'a loopback address as IP:port'),
    ready: createAddress().optional(),
  }),
  backend: z.strictObject({
    address: createAddress(),
    connections: createInteger(1, 100_000).default(256),
    connectTimeMs: createInteger(10, 60_000).default(500),
    health: z
      .enum(['always', 'after-failure'], 'always or after-failure')
      .default('always')
      .transform((text) => (text === 'always' ? 'always' : 'afterFailure')),
  }),
  platform: z.strictObject({
    address: createAddress(),
    waitMs: createInteger(100, 300_000).default(30_000),
  }),
  trust: z.strictObject({ signingKeys: createKeys().default([]), unsigned: createSwitch() }),
  peers: z.strictObject({
    seeds: createAddressList().default([]),
    transport: z.enum(['grpc', 'tcp'], 'grpc or tcp').default('grpc'),
  }),
  suspects: z.strictObject({
    policy: z.enum(['isolate', 'count'], 'isolate or count').default('isolate'),
  }),
  rates: z.strictObject({
    excess: createFraction().default(0),
    lowerAfterMs: createInteger(0, 10_000).default(0),
  }),
  admission: z.strictObject({
    limit: z.enum(['adaptive', 'declared'], 'adaptive or declared').default('adaptive'),
    order: z.enum(['arrival', 'newest'], 'arrival or newest').default('arrival'),
    preemption: createSwitch('yes'),
    overload: z.enum(['levels', 'trees'], 'levels or trees').default('levels'),
  }),
  bodies: z.strictObject({
    maxBody: createInteger(1024, 64 * MEBIBYTE).default(16 * MEBIBYTE),
    budget: createInteger(MEBIBYTE, 1024 * MEBIBYTE).default(96 * MEBIBYTE),
  }),
  requests: z.strictObject({
    headerBytes: createInteger(1024, MEBIBYTE).default(32 * 1024),
    headerTimeMs: createInteger(100, 600_000).default(10_000),
    requestTimeMs: createInteger(100, 600_000).default(60_000),
    connections: createInteger(1, 100_000).default(4_096),
    keepAliveMs: createInteger(0, 600_000).default(30_000),
  }),
  drain: z.strictObject({ limitMs: createInteger(0, 3_600_000).default(30_000) }),
  log: z.strictObject({
    level: z.enum(['debug', 'info', 'warn', 'error'], 'debug, info, warn or error').default('info'),
    linesPerSecond: createInteger(1, 100_000).default(200),
  }),
  tls: z.strictObject({
    plainText: createSwitch(),
    trustedNetwork: createSwitch(),
    certificate: createPath().optional(),
    key: createPath().optional(),
    authorities: createPath().optional(),
  }),
});

export type Settings = z.infer<typeof settingsSchema>;

/** Sections that a settings file may omit, because all their keys have defaults or are optional. */
export const OPTIONAL_SECTIONS = [
  'bodies',
  'requests',
  'drain',
  'log',
  'tls',
  'peers',
  'admission',
  'rates',
  'suspects',
] as const;

/**
 * Returns whether an address is a loopback address.
 * @param address - Address to listen on.
 */
export function isLoopback(address: ListenAddress): boolean {
  return address.host === '::1' || address.host.startsWith('127.');
}

/**
 * Formats an address as `IP:port`, with brackets around an IPv6 address.
 * @param address - Address to format.
 */
export function formatAddress({ host, port }: ListenAddress): string {
  return isIP(host) === 6 ? `[${host}]:${port}` : `${host}:${port}`;
}

function createName() {
  const expected = 'a name of 1 to 253 letters, digits, dots and hyphens';
  return z.string(expected).regex(/^[A-Za-z0-9][A-Za-z0-9.-]{0,252}$/, expected);
}

function createFraction() {
  const expected = 'a number from 0 to 1';
  return z
    .string(expected)
    .regex(/^(0(\.\d{1,6})?|1(\.0{1,6})?)$/, expected)
    .transform(Number);
}

function createSwitch(usual: 'yes' | 'no' = 'no') {
  return z
    .enum(['yes', 'no'], 'yes or no')
    .default(usual)
    .transform((text) => text === 'yes');
}

/** Accepts `none` and an empty text, which a rendered template may contain, as an empty list. */
function createAddressList() {
  const expected = 'addresses as IP:port, separated by commas';
  return z
    .string(expected)
    .transform((text) => text.split(',').filter((part) => !['', 'none'].includes(part.trim())))
    .pipe(z.array(createAddress()));
}

function createPath() {
  return z.string('the path of a PEM file').min(1, 'the path of a PEM file');
}

function createInteger(lowest: number, highest: number) {
  const expected = `a whole number from ${lowest} to ${highest}`;
  return z
    .string(expected)
    .regex(/^\d{1,15}$/, expected)
    .transform(Number)
    .refine((value) => value >= lowest && value <= highest, expected);
}

function createAddress() {
  const expected = 'an address as IP:port';
  return z.string(expected).transform((text, context): ListenAddress => {
    const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
    const host = match?.[1] ?? match?.[2] ?? '';
    const port = Number(match?.[3] ?? NaN);
    if (isIP(host) === 0 || !(port <= 65_535)) {
      context.addIssue({ code: 'custom', message: expected });
      return z.NEVER;
    }
    return { host, port };
  });
}

function createKeys() {
  const expected = 'ed25519 public keys of 43 base64url characters, separated by commas';
  return z
    .string(expected)
    .transform((text) => text.split(',').map((key) => key.trim()))
    .refine((keys) => keys.every((key) => /^[A-Za-z0-9_-]{43}$/.test(key)), expected);
}
