/** Why a request target is refused before any route is looked up. */
export type TargetFault =
  | 'tooLong'
  | 'notAbsolutePath'
  | 'forbiddenCharacter'
  | 'emptySegment'
  | 'dotSegment'
  | 'malformedEncoding'
  | 'encodedSeparator'
  | 'doubleEncoding';

/** Longest target that is accepted, in characters; the usual limit of HTTP servers. */
export const MAX_TARGET_LENGTH = 8_192;

const FORBIDDEN_PATTERN = /[^\x21-\x7e]|[\\#<>"{}|^`]/;
const DOUBLE_ENCODING_PATTERN = /%[0-9A-Fa-f]{2}/;

/**
 * Finds what makes the path of a target ambiguous. Servers disagree on dot segments, encoded slashes and double
 * encodings, so the node could authorize another path than the backend server runs; such targets are refused.
 * @param target - Path and query as received.
 * @returns The fault, or undefined for a clear target.
 */
export function findTargetFault(target: string): TargetFault | undefined {
  if (target.length > MAX_TARGET_LENGTH) {
    return 'tooLong';
  }
  if (!target.startsWith('/')) {
    return 'notAbsolutePath';
  }
  if (FORBIDDEN_PATTERN.test(target)) {
    return 'forbiddenCharacter';
  }
  const segments = splitTarget(target).path.slice(1).split('/');
  // A trailing slash leaves one empty segment at the end, which matches no parameter.
  if (segments.slice(0, -1).includes('')) {
    return 'emptySegment';
  }
  return segments.map(findSegmentFault).find((fault) => fault !== undefined);
}

/**
 * Splits a target into its path and its query; the query begins with `?` or is empty.
 * @param target - Path and query as received.
 */
export function splitTarget(target: string): { readonly path: string; readonly query: string } {
  const position = target.indexOf('?');
  return position < 0
    ? { path: target, query: '' }
    : { path: target.slice(0, position), query: target.slice(position) };
}

function findSegmentFault(segment: string): TargetFault | undefined {
  const decoded = decodeSegment(segment);
  if (decoded === undefined) {
    return 'malformedEncoding';
  }
  if (decoded === '.' || decoded === '..') {
    return 'dotSegment';
  }
  if (decoded.includes('/') || decoded.includes('\\')) {
    return 'encodedSeparator';
  }
  if (DOUBLE_ENCODING_PATTERN.test(decoded)) {
    return 'doubleEncoding';
  }
  // eslint-disable-next-line no-control-regex -- control characters are what is looked for
  return /[\x00-\x1f\x7f]/.test(decoded) ? 'forbiddenCharacter' : undefined;
}

function decodeSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
