export * from './KnownFailuresError.js';
export * from './checkKnownFailures.js';
export * from './parseKnownFailures.js';
export * from './readKnownFailures.js';
