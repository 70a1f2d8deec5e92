export * from './DocumentRelay.js';
export type * from './PublishedDocument.js';
