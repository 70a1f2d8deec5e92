import { buildRefusalAnswer } from '../request/buildRefusalAnswer.js';
import type { EdgeAdapter } from './EdgeAdapter.js';

/**
 * Header with the id of an attempt that runs at most once without a ticket. Only the adapter of a platform whose
 * callers give each attempt a unique id may set it; a caller that repeated the id at another node would cause a second
 * run.
 */
const ATTEMPT_HEADER = 'tanagerpond-attempt';

/** Adapter for callers that use the native interface. Drops the attempt header that a caller sends. */
export const NATIVE_EDGE_ADAPTER: EdgeAdapter = {
  readRequest: (headers) => headers.filter(([name]) => name !== ATTEMPT_HEADER),
  writeAnswer: (headers) => headers,
  buildRefusal: (refusal, headers) => buildRefusalAnswer(refusal, headers),
};
