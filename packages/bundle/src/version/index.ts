export * from './Bundle.js';
export * from './fleetSchema.js';
export * from './routeSchema.js';
export * from './serviceSchema.js';
export * from './workspaceSchema.js';
