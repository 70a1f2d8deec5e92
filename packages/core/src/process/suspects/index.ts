export * from './SuspectPolicy.js';
export * from './SuspectTable.js';
