export { BackendPool } from './BackendPool.js';
export { HealthPoller } from './HealthPoller.js';
export { readFraming } from './readFraming.js';
