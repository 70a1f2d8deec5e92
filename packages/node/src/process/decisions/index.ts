export type { Decisions } from './Decisions.js';
export { DecisionTask } from './DecisionTask.js';
