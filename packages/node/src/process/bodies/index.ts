export { BodyBuffer } from './BodyBuffer.js';
export { BodyStore } from './BodyStore.js';
export type { BodyReference } from './BodyStore.js';
export type { Reservation } from './BudgetReservation.js';
