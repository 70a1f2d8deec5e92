export * from './request/index.js';
export * from './version/index.js';
