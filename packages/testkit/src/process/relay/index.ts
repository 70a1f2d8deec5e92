export * from './LinkRelay.js';
