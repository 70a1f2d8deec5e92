export * from './callerKey.js';
export * from './findTargetFault.js';
export * from './HostRouteTable.js';
export * from './matchRoute.js';
