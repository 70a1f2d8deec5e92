export type { ShareCommand } from './ShareCommand.js';
export type { ShareFrame } from './ShareFrame.js';
export { RateLimiter } from './RateLimiter.js';
export type { RateLimiterOptions } from './RateLimiter.js';
export type { ShareSnapshot } from './ShareSnapshot.js';
export type { RateOptions } from './WorkspaceRates.js';
