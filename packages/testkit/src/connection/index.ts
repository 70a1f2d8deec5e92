export * from './ControlServer.js';
export * from './answerJson.js';
export * from './openLoopback.js';
export { writeEndlessBytes } from './writeEndlessBytes.js';
export type { EndlessBytes } from './writeEndlessBytes.js';
