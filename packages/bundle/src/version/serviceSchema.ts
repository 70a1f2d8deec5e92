import * as z from 'zod';

/** One service, section `[service NAME]` of `services.ini`. */
export const serviceSchema = z.strictObject({
  name: z.string().regex(/^[a-z][a-z0-9-]*$/),
  /** Requests that one backend server can run at once. */
  slots: z.int().min(1),
  /** Connections that one backend server accepts. */
  connections: z.int().min(1),
  /** Calls that may wait in the admission queue of one VM. */
  queue: z.int().min(1),
});

export type Service = Readonly<z.infer<typeof serviceSchema>>;
