import { create } from '@bufbuild/protobuf';
import { FrameSchema } from '@tanagerpond/wire';
import type { ConfigurationFrame } from './ConfigurationCommand.js';
import type { HeldVersion } from './HeldVersion.js';

/**
 * Creates the announcement of a version.
 * @param held - Version to announce.
 */
export function createAnnouncement(held: HeldVersion): ConfigurationFrame {
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

/**
 * Creates the question for sections.
 * @param digests - SHA-256 of each section, in lower-case hexadecimal.
 */
export function createSectionRequest(digests: readonly string[]): ConfigurationFrame {
  const value = { digests: digests.map((digest) => Buffer.from(digest, 'hex')) };
  return create(FrameSchema, { body: { case: 'sectionRequest', value } }) as ConfigurationFrame;
}

/**
 * Creates the answer with one section.
 * @param digest - SHA-256 of the section.
 * @param content - Text of the section.
 */
export function createSectionReply(digest: Uint8Array, content: string): ConfigurationFrame {
  const value = { digest, content: Buffer.from(content) };
  return create(FrameSchema, { body: { case: 'sectionReply', value } }) as ConfigurationFrame;
}
