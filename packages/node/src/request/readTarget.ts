import type { IncomingMessage } from 'node:http';

/** Absolute form of a request target: scheme, host with port, and the path with the query. */
const ABSOLUTE_PATTERN = /^https?:\/\/([^/?#]*)([^#]*)$/i;

/** Host and target of a request. */
export interface RequestTarget {
  readonly host: string;
  /** Path and query. */
  readonly target: string;
}

/**
 * Reads the host and the target of a request. A target in absolute form (RFC 9112, 3.2.2) contains its host, which takes
 * precedence over the `host` header; the path is returned as it was sent.
 * @param incoming - Request whose head has arrived.
 */
export function readTarget({ url = '', headers }: IncomingMessage): RequestTarget {
  const absolute = ABSOLUTE_PATTERN.exec(url);
  if (absolute === null) {
    return { host: headers.host ?? '', target: url };
  }
  const [, host, rest] = absolute;
  return { host, target: rest.startsWith('/') ? rest : `/${rest}` };
}
