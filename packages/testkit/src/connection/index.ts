export * from './answerJson.js';
export * from './openLoopback.js';
