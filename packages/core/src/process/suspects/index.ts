export * from './SuspectTable.js';
