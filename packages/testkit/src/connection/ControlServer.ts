import * as http from 'node:http';
import { answerJson, collectBody } from './answerJson.js';
import { closeServer, openLoopback } from './openLoopback.js';

/**
 * Handles the command of one path. Its result, or the value of its promise, is sent as JSON; undefined becomes `{}`.
 */
export type ControlHandler = (body: string) => unknown;

/** HTTP endpoint by which tests control a simulated process, with one handler per path. */
export class ControlServer {
  readonly #server: http.Server;

  readonly #handlers: Readonly<Record<string, ControlHandler>>;

  /** @param handlers - Handlers by path; if one throws, its command is answered with status 400. */
  constructor(handlers: Readonly<Record<string, ControlHandler>>) {
    this.#handlers = handlers;
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  /** Opens the endpoint on a free loopback port. Returns `127.0.0.1:port`. */
  async open(): Promise<string> {
    return openLoopback(this.#server);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await closeServer(this.#server);
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = (await collectBody(request)).toString();
    const path = request.url ?? '';
    if (!Object.hasOwn(this.#handlers, path)) {
      answerJson(response, 404, { error: `unknown control command ${path}` });
      return;
    }
    try {
      answerJson(response, 200, (await this.#handlers[path](body)) ?? {});
    } catch (error) {
      answerJson(response, 400, { error: String(error) });
    }
  }
}
