export * as experiment from './process/experiment/index.js';
export * as fleet from './process/fleet/index.js';
export * as language from './process/language/index.js';
export * from './runDemoCommand.js';
export * from './runExperimentCommand.js';
export * from './runScenarioCommand.js';
