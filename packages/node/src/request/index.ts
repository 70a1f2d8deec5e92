export { parseRawHeaders } from './parseRawHeaders.js';
export { RequestListener } from './RequestListener.js';
export type { RequestLimits } from './RequestListener.js';
