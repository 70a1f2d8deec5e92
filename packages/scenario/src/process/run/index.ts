export * from './ScenarioRunner.js';
export * from './startLoad.js';
