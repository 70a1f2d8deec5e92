export { BoundedLineStream } from './BoundedLineStream.js';
export { createLogger } from './createLogger.js';
export type { Log, LogFields, LogLevel, ProcessLog } from './createLogger.js';
