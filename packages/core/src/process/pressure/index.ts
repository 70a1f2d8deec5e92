export * from './PressureTable.js';
