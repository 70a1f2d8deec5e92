import { create } from '@bufbuild/protobuf';
import { FrameSchema } from '@tanagerpond/wire';
import type { ConfigurationFrame } from './ConfigurationCommand.js';
import type { ActiveVersion } from './ActiveVersion.js';
import { createPatch } from './sectionPatch.js';

/**
 * Creates the announcement of a version.
 * @param held - Version to announce.
 */
export function createAnnouncement(held: ActiveVersion): ConfigurationFrame {
  const value = { version: held.version, manifest: held.manifest, signature: held.signature };
  return create(FrameSchema, {
    body: { case: 'manifestAnnouncement', value },
  }) as ConfigurationFrame;
}

/** Creates the question for the version of a peer. */
export function createManifestRequest(): ConfigurationFrame {
  return create(FrameSchema, {
    body: { case: 'manifestRequest', value: {} },
  }) as ConfigurationFrame;
}

/** A section that is missing, and the section of the same file that is held, by their SHA-256 in hexadecimal. */
export interface WantedSection {
  readonly digest: string;
  readonly base: string | undefined;
}

/**
 * Creates the question for sections.
 * @param wanted - Missing sections.
 */
export function createSectionRequest(wanted: readonly WantedSection[]): ConfigurationFrame {
  const value = {
    digests: wanted.map(({ digest }) => Buffer.from(digest, 'hex')),
    bases: wanted.map(({ base }) => Buffer.from(base ?? '', 'hex')),
  };
  return create(FrameSchema, { body: { case: 'sectionRequest', value } }) as ConfigurationFrame;
}

/**
 * Creates the answer with one section, as a patch if the receiver's section is known.
 * @param digest - SHA-256 of the section.
 * @param content - Text of the section.
 * @param base - Section that the receiver holds, with its SHA-256.
 */
export function createSectionReply(
  digest: Uint8Array,
  content: string,
  base: { readonly digest: Uint8Array; readonly content: string } | undefined,
): ConfigurationFrame {
  const whole = Buffer.from(content);
  const value =
    base === undefined
      ? { digest, content: whole }
      : { digest, base: base.digest, ...createPatch(Buffer.from(base.content), whole) };
  return create(FrameSchema, { body: { case: 'sectionReply', value } }) as ConfigurationFrame;
}
