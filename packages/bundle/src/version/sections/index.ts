export * from './buildBundle.js';
export * from './SectionFile.js';
