import * as z from 'zod';

const routeSchema = z.object({
  name: z.string(),
  method: z.string(),
  /** Path with the service segment; a segment `:name` is replaced by a random number. */
  target: z.string(),
  repeatable: z.boolean(),
});

/** Options of one stream of callers. Times are in milliseconds. */
export const callerOptionsSchema = z.object({
  name: z.string(),
  seed: z.int(),
  workspace: z.string(),
  /** Key of the workspace; absent for callers of open routes. */
  key: z.string().optional(),
  /** `IP:port` of the caller listeners among which each attempt chooses. */
  entries: z.array(z.string()).min(1),
  routes: z.array(routeSchema).min(1),
  ratePerSecond: z.number().positive(),
  durationMs: z.number().positive(),
  /** Retries of one request after a refusal or a lost connection; the ticket round trip does not count. */
  retries: z.int().min(0).default(2),
  retryDelayMs: z.number().min(0).default(50),
  timeoutMs: z.number().positive().default(8_000),
  bodyBytes: z.int().min(0).default(64),
  /** Headers besides the usual ones. */
  headers: z.record(z.string(), z.string()).default({}),
  /** Text added to each body, such as a key that must not reach a backend server. */
  bodyText: z.string().default(''),
  /** Query added to each target. */
  query: z.string().default(''),
});

export type CallerOptions = Readonly<z.infer<typeof callerOptionsSchema>>;
export type CallerRoute = CallerOptions['routes'][number];
