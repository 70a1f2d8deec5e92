export * from './AttemptAllowance.js';
export * from './OutboundSide.js';
export * from './InboundSide.js';
export * from './InboundCallTable.js';
