export * from './setNewest.js';
