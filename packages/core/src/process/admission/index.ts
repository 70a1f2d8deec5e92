export { isRateLimit } from './RatePacer.js';
export type * from './AdmissionItem.js';
export type * from './AdmissionPolicy.js';
export * from './AdmissionQueue.js';
export * from './ConcurrencyLimit.js';
export * from './DeclaredLimit.js';
export * from './FairQueue.js';
export * from './AdmissionLevelController.js';
