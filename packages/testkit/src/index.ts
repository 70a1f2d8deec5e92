export * as backend from './process/backend/index.js';
export * as caller from './process/caller/index.js';
export * as collector from './process/collector/index.js';
export * as connection from './connection/index.js';
export * as forwarder from './process/forwarder/index.js';
export * as platform from './process/platform/index.js';
export * as relay from './process/relay/index.js';
export * as time from './process/time/index.js';
