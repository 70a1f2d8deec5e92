export { WorkQueue } from './WorkQueue.js';
export type { AddWork, WorkTask } from './WorkQueue.js';
