export * from './createBackendControl.js';
export * from './backendOptions.js';
export * from './BackendServer.js';
