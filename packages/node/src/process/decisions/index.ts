export type { DecisionEngine } from './DecisionEngine.js';
export { DecisionTask } from './DecisionTask.js';
