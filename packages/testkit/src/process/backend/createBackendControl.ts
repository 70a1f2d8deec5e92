import * as z from 'zod';
import * as connection from '../../connection/index.js';
import { CRASH_EXIT_CODE, type BackendServer } from './BackendServer.js';

const changeSchema = z.strictObject({
  slowdown: z.number().positive().optional(),
  health: z.enum(['healthy', 'draining']).optional(),
  draining: z.boolean().optional(),
});
const egressSchema = z.object({ origin: z.string() });

/**
 * Creates the control endpoint by which tests control a backend server: `/faults` changes its faults, `/egress` sets
 * the origin for outgoing calls, `/counters` returns its snapshot and `/crash` exits the process.
 * @param backend - Backend server to control.
 */
export function createBackendControl(backend: BackendServer): connection.ControlServer {
  return new connection.ControlServer({
    '/faults': (body) => Object.assign(backend.faults, changeSchema.parse(JSON.parse(body))),
    '/egress': (body) => backend.setEgress(egressSchema.parse(JSON.parse(body)).origin),
    '/counters': () => backend.snapshot(),
    // eslint-disable-next-line n/no-process-exit -- the crash is the purpose
    '/crash': () => process.exit(CRASH_EXIT_CODE),
  });
}
