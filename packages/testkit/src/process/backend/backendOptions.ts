import * as z from 'zod';

/** One outgoing call that a route makes, below the egress listener. */
const callSchema = z.object({
  route: z.string(),
  method: z.string(),
  /** Path with the service segment; a segment `:name` is replaced by a random number. */
  target: z.string(),
});

const routeSchema = z.object({
  name: z.string(),
  method: z.string(),
  /** Path below the service segment. */
  path: z.string(),
  repeatable: z.boolean(),
  /** Mean time of the route's own work. */
  serviceMs: z.number().min(0),
  calls: z.array(callSchema),
});

/** Options of the backend server stand-in. Times are in milliseconds. */
export const backendOptionsSchema = z.object({
  vm: z.string(),
  service: z.string(),
  slots: z.int().min(1),
  seed: z.int(),
  /** Origin of the run collector, `http://IP:port`. */
  collector: z.string(),
  routes: z.array(routeSchema),
  /** Port to listen on, so that a restarted backend server is found where it was; 0 for a free one. */
  port: z.int().min(0).default(0),
  /** Time after the start during which work takes `coldFactor` times as long. */
  coldMs: z.number().min(0).default(0),
  coldFactor: z.number().min(1).default(3),
  /** Size of the filler in an answer, in bytes. */
  answerBytes: z.int().min(0).default(64),
  /** Time for which new work is shed before the process ends on SIGTERM; its node sees the drain meanwhile. */
  drainMs: z.number().min(0).default(1_500),
});

export type BackendOptions = Readonly<z.infer<typeof backendOptionsSchema>>;
export type BackendRoute = BackendOptions['routes'][number];
export type BackendCall = BackendRoute['calls'][number];
