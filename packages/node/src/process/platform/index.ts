export { createPlatformReader } from './createPlatformReader.js';
export { PlatformReader } from './PlatformReader.js';
