export * from './formatSummary.js';
export * from './parseExperiment.js';
export * from './runExperiment.js';
