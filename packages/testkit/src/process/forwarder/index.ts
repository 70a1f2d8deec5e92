export * from './PlainForwarder.js';
