export * from './RetryRatio.js';
export * from './Router.js';
export type * from './RoutingOutcome.js';
