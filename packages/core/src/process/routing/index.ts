export * from './RetryBudget.js';
export * from './Router.js';
export type * from './RoutingOutcome.js';
