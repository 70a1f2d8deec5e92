import { backend, caller } from '@tanagerpond/testkit';
import type { Action } from '../language/index.js';
import type { ScenarioState } from './ScenarioState.js';
import { buildCallerRoute } from './startLoad.js';

const PAUSE_BETWEEN_MS = 150;

/** The body must not change between the requests: the fingerprint of a poison request is its route and body. */
const POISON_BODY = '{"poison":true}';

/**
 * Sends one request that crashes each backend server that runs it, again and again, as its caller would.
 * @param state - State of the run.
 * @param action - Route, workspace and number of requests.
 */
export async function sendCrashRequests(
  state: ScenarioState,
  action: Extract<Action, { kind: 'crash' }>,
): Promise<void> {
  const route = buildCallerRoute(state.fleet.deployment, action.route);
  const entries = state.fleet.listEntries();
  for (let index = 0; index < action.times; index++) {
    await caller.sendAttempt({
      entry: entries[index % entries.length],
      method: route.method,
      target: route.target.replaceAll(/:[^/]+/g, '666'),
      requestId: `poison-${index}`,
      attemptId: `poison-${index}.1`,
      body: route.method === 'GET' ? '' : POISON_BODY,
      headers: {
        authorization: `Bearer ${state.fleet.deployment.findKey(action.workspace) ?? ''}`,
        [backend.CRASH_HEADER]: '1',
      },
      timeoutMs: 8_000,
    });
    await new Promise((resolve) => {
      setTimeout(resolve, PAUSE_BETWEEN_MS);
    });
  }
}
