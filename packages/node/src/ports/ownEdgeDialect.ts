import { buildRefusalAnswer } from '../request/buildRefusalAnswer.js';
import type { EdgeDialect } from './EdgeDialect.js';

/** The product's own interface towards callers. */
export const OWN_EDGE_DIALECT: EdgeDialect = {
  readRequest: (headers) => headers,
  writeAnswer: (headers) => headers,
  buildRefusal: (refusal, headers) => buildRefusalAnswer(refusal, headers),
};
