import * as z from 'zod';
import { SECTION_FILES } from '../sections/SectionFile.js';

/** Highest version number; the peer link encodes versions as `uint32`. */
export const MAX_VERSION = 0xffff_ffff;

/** Schema of the signed part of an envelope: the version and the digest of each section file. */
export const manifestSchema = z.strictObject({
  version: z.int().min(1).max(MAX_VERSION),
  /** ISO 8601 time in UTC. Informational: the node never evaluates it. */
  signedAt: z.iso.datetime(),
  /** SHA-256 digest of each section file, in lower-case hexadecimal. */
  sections: z.strictObject({
    'fleet.ini': z.string().regex(/^[0-9a-f]{64}$/),
    'workspaces.ini': z.string().regex(/^[0-9a-f]{64}$/),
    'services.ini': z.string().regex(/^[0-9a-f]{64}$/),
    'routes.ini': z.string().regex(/^[0-9a-f]{64}$/),
  } satisfies Record<(typeof SECTION_FILES)[number], z.ZodType>),
});

export type Manifest = Readonly<z.infer<typeof manifestSchema>>;
