import * as z from 'zod';

/** Lowest priority class; class 0 is the most important one. */
export const LOWEST_PRIORITY_CLASS = 3;

/** Largest request body or answer that a route may allow, in bytes. */
export const LARGEST_BODY_BYTES = 64 * 1024 * 1024;

/** One route, section `[route SERVICE.NAME]` of `routes.ini`. */
export const routeSchema = z.strictObject({
  /** `service.name`, unique in the bundle. */
  name: z.string().min(1),
  service: z.string().min(1),
  method: z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service segment; a segment `:name` matches any one segment. */
  path: z.string().startsWith('/'),
  /** Priority class, 0 (highest) to 3. */
  priority: z.int().min(0).max(LOWEST_PRIORITY_CLASS),
  /** Open to callers without a key. */
  open: z.boolean(),
  /** May run more than once (idempotent). */
  repeatable: z.boolean(),
  /** Routes that the backend server may call while it runs this one. */
  calls: z.array(z.string()),
  /** Cost of one run in the fair queue, relative to 1. */
  cost: z.number().positive(),
  /** Largest request body and answer, in bytes. */
  maxBody: z.int().min(0).max(LARGEST_BODY_BYTES),
  maxAnswer: z.int().min(0).max(LARGEST_BODY_BYTES),
  /** Longest time that a request may be kept waiting, whatever its caller asks for, in milliseconds. */
  timeoutMs: z.int().min(1).optional(),
  /** Most VMs that one request may be sent to. */
  maxAttempts: z.int().min(1).optional(),
});

export type Route = Readonly<z.infer<typeof routeSchema>>;
