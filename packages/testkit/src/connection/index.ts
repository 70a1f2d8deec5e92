export * from './ControlServer.js';
export * from './answerJson.js';
export * from './openLoopback.js';
export { pourBytes } from './pourBytes.js';
export type { EndlessBytes } from './pourBytes.js';
