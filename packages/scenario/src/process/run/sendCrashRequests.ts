import { backend, caller } from '@tanagerpond/testkit';
import type { Action } from '../language/index.js';
import type { ScenarioState } from './ScenarioState.js';
import { buildCallerRoute } from './startLoad.js';

/** Time between two crash requests. */
const PAUSE_BETWEEN_MS = 150;

/** Body of every crash request. It is constant, because nodes identify a poison request by its route and body. */
const POISON_BODY = '{"poison":true}';

/**
 * Sends a poison request, which crashes every backend server that runs it, several times as a retrying caller would.
 * The requests have ids of their own and go to the entry nodes in turn, one after the other.
 * @param state - State of the run.
 * @param action - Route, workspace and number of requests.
 * @throws Error if the deployment does not have the route.
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
