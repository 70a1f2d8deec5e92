export * from './PlatformControl.js';
export * from './PlatformServer.js';
