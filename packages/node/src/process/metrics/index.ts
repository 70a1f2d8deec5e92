export { Counters } from './Counters.js';
export { Latency } from './Latency.js';
