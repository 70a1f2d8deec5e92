import * as z from 'zod';

const routeSchema = z.object({
  name: z.string(),
  method: z.string(),
  /** Path that begins with the service segment; each segment `:name` is replaced by a random number. */
  target: z.string(),
  repeatable: z.boolean(),
});

/** Options of a `CallerLoad`. Times are in milliseconds. */
export const callerOptionsSchema = z.object({
  name: z.string(),
  seed: z.int(),
  workspace: z.string(),
  /** Caller key of the workspace; absent for callers of open routes. */
  key: z.string().optional(),
  /** `IP:port` of the caller listeners; each attempt uses a random one. */
  entries: z.array(z.string()).min(1),
  routes: z.array(routeSchema).min(1),
  ratePerSecond: z.number().positive(),
  durationMs: z.number().positive(),
  /** Maximum number of retries per request. Sending the request again with the ticket it was given does not count. */
  retries: z.int().min(0).default(2),
  /** Mean delay before a retry; the actual delay is chosen between half and one and a half times this value. */
  retryDelayMs: z.number().min(0).default(50),
  timeoutMs: z.number().positive().default(8_000),
  /** Size of the filler in each request body. */
  bodyBytes: z.int().min(0).default(64),
  /** Additional headers of each request. */
  headers: z.record(z.string(), z.string()).default({}),
  /** Text included in each body, such as a key that must not reach a backend server. */
  bodyText: z.string().default(''),
  /** Query string appended to each path, with its question mark. */
  query: z.string().default(''),
});

export type CallerOptions = Readonly<z.infer<typeof callerOptionsSchema>>;
export type CallerRoute = CallerOptions['routes'][number];
