import * as z from 'zod';

/** Schema of a service, section `[service NAME]` of `services.ini`. */
export const serviceSchema = z.strictObject({
  name: z.string().regex(/^[a-z][a-z0-9-]*$/),
  /** Maximum number of requests that one backend server runs concurrently. */
  slots: z.int().min(1),
  /** Maximum number of connections that one backend server accepts. */
  connections: z.int().min(1),
  /** Maximum number of calls that wait in the admission queue of one VM. */
  queue: z.int().min(1),
  /** Path of the health endpoint of the backend servers, if the platform chooses it. */
  healthPath: z.string().optional(),
});

export type Service = Readonly<z.infer<typeof serviceSchema>>;
