export * from './CallerLoad.js';
export * from './callerOptions.js';
export * from './collectSummary.js';
export * from './RequestRecord.js';
export * from './sendAttempt.js';
