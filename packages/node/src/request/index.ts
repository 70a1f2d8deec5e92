export type { HttpAnswer } from './buildRefusalAnswer.js';
export { parseRawHeaders } from './parseRawHeaders.js';
export { ReadinessListener } from './ReadinessListener.js';
export { RequestListener } from './RequestListener.js';
export type { RequestLimits } from './RequestListener.js';
