export * from './BackpressureTable.js';
