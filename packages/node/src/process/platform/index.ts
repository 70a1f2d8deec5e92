export { createPlatformReader } from './createPlatformReader.js';
export { PlatformReader } from './PlatformReader.js';
export { Reachability } from './Reachability.js';
