export * from './CallContext.js';
export * from './refusals.js';
