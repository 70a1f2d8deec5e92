export { CancellableStarts } from './CancellableStarts.js';
export type { WorkTask } from './WorkLane.js';
export { WorkQueue } from './WorkQueue.js';
export type { AddWork } from './WorkQueue.js';
