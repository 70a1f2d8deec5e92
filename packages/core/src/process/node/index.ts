export type * from './NodeCommand.js';
export type * from './NodeMessage.js';
