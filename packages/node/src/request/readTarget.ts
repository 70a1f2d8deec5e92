import type { IncomingMessage } from 'node:http';

/** Absolute form of a request target: scheme, host with port, and the path with the query. */
const ABSOLUTE_PATTERN = /^https?:\/\/([^/?#]*)([^#]*)$/i;

/** Host and path of a request. */
export interface RequestTarget {
  readonly host: string;
  /** Path and query. */
  readonly path: string;
  /** Whether the target contained the host. */
  readonly isAbsolute: boolean;
}

/**
 * Reads the host and the path of a request. A target in absolute form (RFC 9112, 3.2.2) contains its host, which takes
 * precedence over the `host` header; the path is returned as it was sent.
 * @param incoming - Request whose head has arrived.
 */
export function readTarget({ url = '', headers }: IncomingMessage): RequestTarget {
  const absolute = url.startsWith('/') ? null : ABSOLUTE_PATTERN.exec(url);
  if (absolute === null) {
    return { host: headers.host ?? '', path: url, isAbsolute: false };
  }
  const [, host, rest] = absolute;
  return { host, path: rest.startsWith('/') ? rest : `/${rest}`, isAbsolute: true };
}
