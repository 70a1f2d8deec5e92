export type * from './AdmissionItem.js';
export * from './AdmissionQueue.js';
export * from './ConcurrencyLimit.js';
export * from './FairQueue.js';
export * from './LevelEstimate.js';
