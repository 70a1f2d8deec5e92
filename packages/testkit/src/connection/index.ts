export * from './ControlServer.js';
export * from './answerJson.js';
export * from './openLoopback.js';
