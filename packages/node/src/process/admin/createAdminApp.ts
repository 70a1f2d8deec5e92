import type { IncomingMessage, ServerResponse } from 'node:http';
import { getRequestListener } from '@hono/node-server';
import { Hono } from 'hono';
import type { AdminListenerOptions } from './AdminListener.js';

/** Media type of the Prometheus text format. */
const METRICS_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/**
 * Creates the request handler of the admin listener: `/state`, `/metrics`, `/health` and `POST /drain`.
 * @param options - Data and actions that the listener offers.
 */
export function createAdminApp(
  options: AdminListenerOptions,
): (incoming: IncomingMessage, outgoing: ServerResponse) => Promise<void> {
  const app = new Hono();
  app.get('/state', (context) => context.json(options.readState()));
  app.get('/metrics', async (context) =>
    context.text(await options.renderMetrics(), 200, { 'content-type': METRICS_TYPE }),
  );
  app.get('/health', (context) =>
    context.json({ state: options.isDraining() ? 'draining' : 'healthy' }),
  );
  app.post('/drain', (context) => {
    options.drain();
    return context.json({ state: 'draining' }, 202);
  });
  return getRequestListener(app.fetch, { overrideGlobalObjects: false });
}
