export { Counters } from './Counters.js';
export { LatencyHistogram } from './LatencyHistogram.js';
