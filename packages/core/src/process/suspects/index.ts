export * from './InterruptedRuns.js';
export * from './SuspectPolicy.js';
export * from './SuspectTable.js';
