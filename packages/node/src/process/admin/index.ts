export { AdminListener } from './AdminListener.js';
export { MetricsPage } from './MetricsPage.js';
