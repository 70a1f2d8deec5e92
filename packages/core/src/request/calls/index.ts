export * from './AttemptAllowance.js';
export * from './EntrySide.js';
export * from './InboundSide.js';
export * from './InboundCallTable.js';
