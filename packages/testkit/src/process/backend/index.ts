export * from './BackendControl.js';
export * from './backendOptions.js';
export * from './BackendServer.js';
