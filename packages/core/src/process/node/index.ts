export type * from './DecisionBasis.js';
export type * from './NodeCommand.js';
export type * from './NodeMessage.js';
export * from './NodeStateMachine.js';
