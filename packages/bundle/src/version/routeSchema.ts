import * as z from 'zod';

/** Lowest priority class; class 0 is the highest. */
export const LOWEST_PRIORITY_CLASS = 3;

/** Upper limit for the `max-body` and `max-answer` of a route, in bytes. */
export const LARGEST_BODY_BYTES = 64 * 1024 * 1024;

/** Schema of a route, section `[route SERVICE.NAME]` of `routes.ini`. */
export const routeSchema = z.strictObject({
  /** `service.name`, unique in the bundle. */
  name: z.string().min(1),
  service: z.string().min(1),
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path after the service segment; a `:name` segment matches any single segment. */
  path: z.string().startsWith('/'),
  /** Priority class, 0 (highest) to 3. */
  priority: z.int().min(0).max(LOWEST_PRIORITY_CLASS),
  /** Whether callers without a key are allowed. */
  open: z.boolean(),
  /** Whether the request may run more than once (idempotent), so that it can be retried. */
  repeatable: z.boolean(),
  /** Names of the routes that a backend server may call while it runs a request of this route. */
  calls: z.array(z.string()),
  /** Cost of one request in the fair queue; 1 is the default. */
  cost: z.number().positive(),
  /** Maximum size of the request body, in bytes. */
  maxBody: z.int().min(0).max(LARGEST_BODY_BYTES),
  /** Maximum size of the body of the answer, in bytes. */
  maxAnswer: z.int().min(0).max(LARGEST_BODY_BYTES),
  /** Upper limit for the deadline of a request, whatever its caller sets, in milliseconds. */
  timeoutMs: z.int().min(1).optional(),
  /** Maximum number of VMs to which one request may be sent. */
  maxAttempts: z.int().min(1).optional(),
});

export type Route = Readonly<z.infer<typeof routeSchema>>;
