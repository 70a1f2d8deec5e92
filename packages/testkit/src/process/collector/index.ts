export * from './RunCollector.js';
