export { createLogger } from './createLogger.js';
export type { Log, LogFields, LogLevel } from './createLogger.js';
