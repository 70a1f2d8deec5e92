export * as fleet from './process/fleet/index.js';
export * as language from './process/language/index.js';
