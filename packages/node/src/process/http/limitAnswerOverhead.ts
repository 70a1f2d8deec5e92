import * as diagnostics from 'node:diagnostics_channel';
import type { buildConnector, DiagnosticsChannel } from 'undici';
import { AnswerOverheadLimiter } from './AnswerOverheadLimiter.js';

/** Most bytes of an answer besides its body and the framing of that: all its heads together, or its trailers. */
export const MAX_ANSWER_HEAD_BYTES = 32 * 1024;

const METERS = new WeakMap<object, AnswerOverheadLimiter>();

/** Meters of the requests in progress. */
const EXCHANGES = new WeakMap<object, AnswerOverheadLimiter>();

// The channels are the library's interface for what goes over which connection.
diagnostics.subscribe('undici:client:sendHeaders', (message) => {
  const { request, socket } = message as DiagnosticsChannel.ClientSendHeadersMessage;
  const meter = METERS.get(socket);
  if (meter !== undefined) {
    EXCHANGES.set(request, meter);
    meter.begin();
  }
});

diagnostics.subscribe('undici:request:bodyChunkReceived', (message) => {
  const { request, chunk } = message as { readonly request: object; readonly chunk: Buffer };
  EXCHANGES.get(request)?.addBody(chunk.length);
});

diagnostics.subscribe('undici:request:trailers', (message) => {
  const { request } = message as DiagnosticsChannel.RequestTrailersMessage;
  EXCHANGES.get(request)?.end();
});

/**
 * Adds a limit to a connector: an answer with more bytes besides its body fails, and bytes that belong to no request
 * close the connection.
 * @param connect - Connector of the library.
 * @param headBytes - Most bytes of an answer besides its body and the framing of that.
 */
export function limitAnswerOverhead(
  connect: buildConnector.connector,
  headBytes = MAX_ANSWER_HEAD_BYTES,
): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        METERS.set(socket, new AnswerOverheadLimiter(socket, headBytes));
      }
      callback(...result);
    });
  };
}
