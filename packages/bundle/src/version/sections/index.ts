export * from './buildBundle.js';
export * from './loadSections.js';
export * from './renderKeyDigests.js';
export * from './SectionFile.js';
