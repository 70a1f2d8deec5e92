export { PlatformReader } from './PlatformReader.js';
