export * from './Bundle.js';
export * from './BundleError.js';
export * from './envelope/index.js';
export * from './fleetSchema.js';
export * from './routeSchema.js';
export * from './sections/index.js';
export * from './serviceSchema.js';
export * from './workspaceSchema.js';
