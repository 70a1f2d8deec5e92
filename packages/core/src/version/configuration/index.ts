export * from './ConfigurationCommand.js';
export * from './ConfigurationTracker.js';
