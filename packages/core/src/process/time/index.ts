export type { Clock } from './Clock.js';
export type { RandomSource } from './RandomSource.js';
