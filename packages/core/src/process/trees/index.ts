export * from './CallRatios.js';
export * from './ServiceUtilization.js';
export * from './TreeAdmission.js';
export * from './TreeProfiles.js';
export * from './TreeReports.js';
export * from './Trees.js';
