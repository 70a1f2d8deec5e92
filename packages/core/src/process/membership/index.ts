export * from './DepartureMemory.js';
export * from './listByRendezvous.js';
export * from './Membership.js';
export * from './VmRecord.js';
