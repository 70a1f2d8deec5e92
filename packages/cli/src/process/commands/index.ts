export * from './bundleCommands.js';
export * from './diffBundles.js';
export * from './keyCommands.js';
export * from './nodeCommands.js';
export * from './scenarioCommands.js';
export * from './showBundle.js';
export { traceRequest } from './traceRequest.js';
