export * from './version/index.js';
