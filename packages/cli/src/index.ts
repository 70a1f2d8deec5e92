export * from './process/index.js';
