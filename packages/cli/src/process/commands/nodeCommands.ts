import { Agent, request } from 'undici';
import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';
import type { JsonOptions } from './bundleCommands.js';
import { renderState } from './renderState.js';

const TIMEOUT_MS = 5_000;

/** Upper bound on a response of the admin listener. Nodes limit the size of their state dump to less than this. */
const MAX_ANSWER_BYTES = 4_194_304;

const ADDRESS_PATTERN = /^(?:[0-9.]+|\[[0-9A-Fa-f:]+\]|localhost):\d{1,5}$/;

/**
 * Reads the state dump of a node and prints it.
 * @param address - `IP:port` of the node's admin listener.
 * @param options - Whether to print JSON.
 * @param terminal - Output for the state.
 * @returns 1 if the node does not answer as expected, 2 if the address is malformed.
 */
export async function dumpState(
  address: string,
  options: JsonOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  if (!checkAddress(address, terminal)) {
    return EXIT.badInput;
  }
  const answer = await callAdmin('GET', `http://${address}/state`);
  const state = answer === undefined ? undefined : parseJson(answer.text);
  if (answer?.status !== 200 || state === undefined) {
    return failCall(address, answer?.status, terminal);
  }
  terminal.write(options.json ? JSON.stringify(state) : renderState(state));
  return EXIT.done;
}

/**
 * Starts the graceful shutdown of a node. Returns as soon as the node has accepted the request.
 * @param address - `IP:port` of the node's admin listener.
 * @param terminal - Output for the result.
 * @returns 1 if the node does not answer as expected, 2 if the address is malformed.
 */
export async function drainNode(address: string, terminal: Terminal): Promise<ExitCode> {
  if (!checkAddress(address, terminal)) {
    return EXIT.badInput;
  }
  const answer = await callAdmin('POST', `http://${address}/drain`);
  if (answer?.status !== 202) {
    return failCall(address, answer?.status, terminal);
  }
  terminal.write(`${address} is draining`);
  return EXIT.done;
}

function checkAddress(address: string, terminal: Terminal): boolean {
  const valid = ADDRESS_PATTERN.test(address);
  if (!valid) {
    terminal.writeError('expected the address of an admin listener, such as 127.0.0.1:9901');
  }
  return valid;
}

async function callAdmin(
  method: 'GET' | 'POST',
  url: string,
): Promise<{ readonly status: number; readonly text: string } | undefined> {
  const dispatcher = new Agent({ maxResponseSize: MAX_ANSWER_BYTES });
  try {
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const { statusCode, body } = await request(url, { method, signal, dispatcher });
    return { status: statusCode, text: await body.text() };
  } catch {
    return undefined;
  } finally {
    await dispatcher.close();
  }
}

function failCall(address: string, status: number | undefined, terminal: Terminal): ExitCode {
  const found = status === undefined ? 'no answer' : `status ${status}`;
  terminal.writeError(`${address}: expected a response from an admin listener, got ${found}`);
  return EXIT.failed;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
