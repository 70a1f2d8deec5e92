export * from './callerKey.js';
export * from './findTargetFault.js';
export * from './HostRoutes.js';
export * from './matchRoute.js';
