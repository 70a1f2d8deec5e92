export * from './AttemptAllowance.js';
export * from './EntrySide.js';
export * from './ExitSide.js';
export * from './InboundCallTable.js';
