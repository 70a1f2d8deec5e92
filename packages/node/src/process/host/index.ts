export { NodeProcess } from './NodeProcess.js';
export type { NodeAddresses, NodeProcessOptions } from './NodeProcess.js';
