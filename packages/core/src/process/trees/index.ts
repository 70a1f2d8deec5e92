export * from './CallRatios.js';
export * from './ServiceUtilization.js';
export * from './TreeAdmission.js';
export * from './TreeDemands.js';
export * from './TreeReports.js';
export * from './CallTrees.js';
