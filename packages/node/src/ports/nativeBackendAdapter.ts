import * as z from 'zod';
import type { BackendAdapter, BackendHealthState } from './BackendAdapter.js';
import { readRateLimit } from './readRateLimit.js';

/** Header of an answer in which a backend server states that it shed the request without running it. */
const SHED_HEADER = 'tanagerpond-shed';

/** Header of an answer in which a backend server names the requests a second that it takes, as a decimal number. */
const RATE_LIMIT_HEADER = 'tanagerpond-rate-limit';

/** Header of an answer in which a backend server announces that it is leaving. */
const LEAVING_HEADER = 'tanagerpond-leaving';

const LEAVING = '1';

/** Headers between a node and its backend server, which are not forwarded to callers. */
const OWN_HEADERS: ReadonlySet<string> = new Set([SHED_HEADER, RATE_LIMIT_HEADER, LEAVING_HEADER]);

const SHED_NOT_RUN = 'not-run';

const SHED_STATUS = 503;

const healthSchema = z.object({ state: z.enum(['healthy', 'draining']) });

/** Adapter for backend servers that use the native interface. */
export const NATIVE_BACKEND_ADAPTER: BackendAdapter = {
  healthPath: '/health',
  allowsUnframedAnswers: false,
  writeRequest: (headers) => headers,
  readAnswer: ({ status, headers }) => ({
    mismatched: false,
    notRun:
      status === SHED_STATUS &&
      headers.some(([name, value]) => name === SHED_HEADER && value === SHED_NOT_RUN),
    rateLimit: readRateLimit(headers, RATE_LIMIT_HEADER),
    isLeaving: headers.some(([name, value]) => name === LEAVING_HEADER && value === LEAVING),
    headers: headers.filter(([name]) => !OWN_HEADERS.has(name)),
  }),
  readHealth: (status, body) => (status === 200 ? readState(body) : 'unreachable'),
};

function readState(body: string): BackendHealthState {
  try {
    const parsed = healthSchema.safeParse(JSON.parse(body));
    return parsed.success ? parsed.data.state : 'unreachable';
  } catch {
    return 'unreachable';
  }
}
