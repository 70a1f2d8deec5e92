export type { DecisionEngine } from './DecisionEngine.js';
export { DecisionLoop } from './DecisionLoop.js';
