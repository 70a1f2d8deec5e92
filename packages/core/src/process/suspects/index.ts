export * from './BrokenRuns.js';
export * from './SuspectPolicy.js';
export * from './SuspectTable.js';
