export { parseRawHeaders, removeConnectionHeaders } from './headers.js';
export { RequestListener } from './RequestListener.js';
export type { RequestLimits } from './RequestListener.js';
