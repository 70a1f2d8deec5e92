import * as diagnostics from 'node:diagnostics_channel';
import type { buildConnector, DiagnosticsChannel } from 'undici';
import { AnswerOverheadLimiter } from './AnswerOverheadLimiter.js';

/** Maximum bytes of an answer outside its body and the chunk framing: all its heads together, or its trailers. */
export const MAX_ANSWER_HEAD_BYTES = 32 * 1024;

const LIMITERS = new WeakMap<object, AnswerOverheadLimiter>();

/** Limiters of the connections that carry the requests in progress, by request. */
const ACTIVE_LIMITERS = new WeakMap<object, AnswerOverheadLimiter>();

// Undici reports through these diagnostics channels which request uses which connection.
diagnostics.subscribe('undici:client:sendHeaders', (message) => {
  const { request, socket } = message as DiagnosticsChannel.ClientSendHeadersMessage;
  const limiter = LIMITERS.get(socket);
  if (limiter !== undefined) {
    ACTIVE_LIMITERS.set(request, limiter);
    limiter.begin();
  }
});

diagnostics.subscribe('undici:request:bodyChunkReceived', (message) => {
  const { request, chunk } = message as { readonly request: object; readonly chunk: Buffer };
  ACTIVE_LIMITERS.get(request)?.addBody(chunk.length);
});

diagnostics.subscribe('undici:request:trailers', (message) => {
  const { request } = message as DiagnosticsChannel.RequestTrailersMessage;
  ACTIVE_LIMITERS.get(request)?.end();
});

/**
 * Wraps a connector so that its connections limit the overhead of answers: an answer with more bytes outside its body
 * fails with an `AnswerOverheadError`, and bytes that belong to no request close the connection.
 * @param connect - Connector of undici.
 * @param headBytes - Maximum bytes of an answer outside its body and the chunk framing of the body.
 */
export function limitAnswerOverhead(
  connect: buildConnector.connector,
  headBytes = MAX_ANSWER_HEAD_BYTES,
): buildConnector.connector {
  return (options, callback) => {
    connect(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        LIMITERS.set(socket, new AnswerOverheadLimiter(socket, headBytes));
      }
      callback(...result);
    });
  };
}
