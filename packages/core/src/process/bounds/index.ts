export * from './setWithLimit.js';
