export * from './parseScenario.js';
export * from './ScenarioError.js';
export type * from './Statement.js';
