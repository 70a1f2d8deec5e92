export { BackendPool } from './BackendPool.js';
export { HealthPoller } from './HealthPoller.js';
