export * as membership from './process/membership/index.js';
export * as node from './process/node/index.js';
export * as request from './request/index.js';
export * as shares from './process/shares/index.js';
export * as time from './process/time/index.js';
