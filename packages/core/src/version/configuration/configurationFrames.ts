import { create } from '@bufbuild/protobuf';
import { FrameSchema } from '@tanagerpond/wire';
import type { ConfigurationFrame } from './ConfigurationCommand.js';
import type { ActiveVersion } from './ActiveVersion.js';
import { createPatch } from './sectionPatch.js';

/**
 * Creates the frame that announces a version, with its signed manifest.
 * @param active - Version to announce.
 */
export function createAnnouncement(active: ActiveVersion): ConfigurationFrame {
  const value = { version: active.version, manifest: active.manifest, signature: active.signature };
  return create(FrameSchema, {
    body: { case: 'manifestAnnouncement', value },
  }) as ConfigurationFrame;
}

/** Creates the frame that asks a peer for its active version. */
export function createManifestRequest(): ConfigurationFrame {
  return create(FrameSchema, {
    body: { case: 'manifestRequest', value: {} },
  }) as ConfigurationFrame;
}

/**
 * A missing section, and the active section of the same file as the base of a patch, by their SHA-256 in hexadecimal.
 */
export interface WantedSection {
  readonly digest: string;
  readonly base: string | undefined;
}

/**
 * Creates the frame that requests sections.
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
 * Creates the reply with one section, as a patch if the base that the receiver has is known.
 * @param digest - SHA-256 of the section.
 * @param content - Text of the section.
 * @param base - Section that the receiver has, with its SHA-256; undefined if it is not known here.
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
