export { BodyBuffer } from './BodyBuffer.js';
export { BodyStore } from './BodyStore.js';
export type { HeldBody } from './BodyStore.js';
export type { Reservation } from './BudgetPart.js';
