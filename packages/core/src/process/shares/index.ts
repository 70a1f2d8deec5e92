export type { ShareCommand } from './ShareCommand.js';
export type { ShareFrame } from './ShareFrame.js';
export { ShareLedger } from './ShareLedger.js';
export type { ShareLedgerOptions } from './ShareLedger.js';
export type { ShareSnapshot } from './ShareSnapshot.js';
export type { RateOptions } from './WorkspaceRates.js';
