import * as http from 'node:http';
import { answerJson, collectBody } from './answerJson.js';
import { closeServer, openLoopback } from './openLoopback.js';

/** Handles the command of one path; its result is answered as JSON. */
export type ControlHandler = (body: string) => unknown;

/** Control endpoint of a stand-in, on its own loopback port: one handler for each path. */
export class ControlServer {
  readonly #server: http.Server;

  readonly #handlers: Readonly<Record<string, ControlHandler>>;

  /** @param handlers - Handlers by path; an exception is answered with 400. */
  constructor(handlers: Readonly<Record<string, ControlHandler>>) {
    this.#handlers = handlers;
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
  }

  /** Opens a free port. Returns `127.0.0.1:port`. */
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
      answerJson(response, 404, { error: `no control ${path}` });
      return;
    }
    try {
      answerJson(response, 200, (await this.#handlers[path](body)) ?? {});
    } catch (error) {
      answerJson(response, 400, { error: String(error) });
    }
  }
}
