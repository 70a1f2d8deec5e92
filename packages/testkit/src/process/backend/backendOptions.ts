import * as z from 'zod';

/** One outgoing call that a route makes through the egress listener of its node. */
const callSchema = z.object({
  route: z.string(),
  method: z.string(),
  /** Path that begins with the service segment; each segment `:name` is replaced by a random number. */
  target: z.string(),
});

const routeSchema = z.object({
  name: z.string(),
  method: z.string(),
  /** Path without the service segment. */
  path: z.string(),
  repeatable: z.boolean(),
  /** Mean service time of the route, without its outgoing calls. */
  serviceMs: z.number().min(0),
  calls: z.array(callSchema),
});

/** Options of a `BackendServer`. Times are in milliseconds. */
export const backendOptionsSchema = z.object({
  vm: z.string(),
  service: z.string(),
  slots: z.int().min(1),
  seed: z.int(),
  /** Origin of the run collector, `http://IP:port`. */
  collector: z.string(),
  routes: z.array(routeSchema),
  /** Port to listen on, so that a restarted backend server keeps its address; 0 for a free one. */
  port: z.int().min(0).default(0),
  /** Time after the start during which service times are multiplied by `coldFactor`. */
  coldMs: z.number().min(0).default(0),
  coldFactor: z.number().min(1).default(3),
  /** Size of the filler in an answer, in bytes. */
  answerBytes: z.int().min(0).default(64),
  /**
   * Minimum time for which new work is shed after SIGTERM before the process exits, so that its node notices the drain.
   */
  drainMs: z.number().min(0).default(1_500),
});

export type BackendOptions = Readonly<z.infer<typeof backendOptionsSchema>>;
export type BackendRoute = BackendOptions['routes'][number];
export type BackendCall = BackendRoute['calls'][number];
