export type { Decisions } from './Decisions.js';
export { DecisionTask } from './DecisionTask.js';
export { StartingDecisions } from './StartingDecisions.js';
