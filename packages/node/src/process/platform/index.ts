export { createPlatformReader } from './createPlatformReader.js';
export { PlatformReader } from './PlatformReader.js';
export { OutageTracker } from './OutageTracker.js';
