import * as z from 'zod';
import { SECTION_FILES } from '../sections/SectionFile.js';

/** Versions travel as `uint32` on the peer link. */
export const MAX_VERSION = 0xffff_ffff;

/** What the signature covers: the version and the digest of every section. */
export const manifestSchema = z.strictObject({
  version: z.int().min(1).max(MAX_VERSION),
  /** ISO 8601 time in UTC; for people only, decisions never compare it. */
  signedAt: z.iso.datetime(),
  /** SHA-256 of each file, in lower-case hexadecimal. */
  sections: z.strictObject({
    'fleet.ini': z.string().regex(/^[0-9a-f]{64}$/),
    'workspaces.ini': z.string().regex(/^[0-9a-f]{64}$/),
    'services.ini': z.string().regex(/^[0-9a-f]{64}$/),
    'routes.ini': z.string().regex(/^[0-9a-f]{64}$/),
  } satisfies Record<(typeof SECTION_FILES)[number], z.ZodType>),
});

export type Manifest = Readonly<z.infer<typeof manifestSchema>>;
