export { DecisionTask } from './process/decisions/index.js';
export type { Decisions } from './process/decisions/index.js';
export { NodeProcess } from './process/host/index.js';
export type { NodeAddresses, NodeProcessOptions } from './process/host/index.js';
export { createLogger } from './process/log/index.js';
export type { Log } from './process/log/index.js';
export { parseSettings, SettingsError } from './process/settings/index.js';
export type { Settings } from './process/settings/index.js';
