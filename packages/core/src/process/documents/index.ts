export * from './DocumentRelay.js';
export type * from './DocumentUpdate.js';
export * from './KeyedDocument.js';
export * from './SourcePosition.js';
export * from './SourceWatchScheduler.js';
