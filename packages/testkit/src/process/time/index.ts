export * from './SeededRandom.js';
export * from './waitFor.js';
