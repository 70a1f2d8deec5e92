export * from './createProgram.js';
export * from './exitCodes.js';
export * from './runCli.js';
export * from './Terminal.js';
