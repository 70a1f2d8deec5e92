import { buildRefusalAnswer } from '../request/buildRefusalAnswer.js';
import type { EdgeAdapter } from './EdgeAdapter.js';

/**
 * Names an attempt that runs at most once without a ticket. Only a platform whose callers give each attempt an id of its
 * own may set it; a caller that repeated one at another node would run twice.
 */
const ATTEMPT_HEADER = 'tanagerpond-attempt';

/** The product's own interface towards callers. */
export const NATIVE_EDGE_ADAPTER: EdgeAdapter = {
  readRequest: (headers) => headers.filter(([name]) => name !== ATTEMPT_HEADER),
  writeAnswer: (headers) => headers,
  buildRefusal: (refusal, headers) => buildRefusalAnswer(refusal, headers),
};
