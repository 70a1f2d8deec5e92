export * as admission from './process/admission/index.js';
export * as membership from './process/membership/index.js';
export * as node from './process/node/index.js';
export * as pressure from './process/pressure/index.js';
export * as request from './request/index.js';
export * as routing from './process/routing/index.js';
export * as suspects from './process/suspects/index.js';
export * as time from './process/time/index.js';
