export { AdminListener } from './AdminListener.js';
export { createMetricsRenderer } from './createMetricsRenderer.js';
