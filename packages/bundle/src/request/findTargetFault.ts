/** Reason why a request target is refused before route lookup. */
export type TargetFault =
  | 'tooLong'
  | 'notAbsolutePath'
  | 'forbiddenCharacter'
  | 'emptySegment'
  | 'dotSegment'
  | 'malformedEncoding'
  | 'encodedSeparator'
  | 'doubleEncoding';

/** Maximum length of a request target, in characters; a common limit of HTTP servers. */
export const MAX_TARGET_LENGTH = 8_192;

const FORBIDDEN_PATTERN = /[^\x21-\x7e]|[\\#<>"{}|^`]/;
const DOUBLE_ENCODING_PATTERN = /%[0-9A-Fa-f]{2}/;

/**
 * Finds a reason to refuse a request target as ambiguous. HTTP servers interpret dot segments, encoded slashes and
 * double encodings differently, so the node could authorize one path while the backend server runs another.
 * @param target - Path and query as received.
 * @returns The first fault found, or undefined when the target is unambiguous.
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
  // A trailing slash is no fault: it gives an empty last segment, which no `:name` segment matches.
  if (segments.slice(0, -1).includes('')) {
    return 'emptySegment';
  }
  return segments.map(findSegmentFault).find((fault) => fault !== undefined);
}

/**
 * Splits a request target into path and query. The query includes its `?`, or is empty.
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
  // eslint-disable-next-line no-control-regex -- the pattern detects control characters
  return /[\x00-\x1f\x7f]/.test(decoded) ? 'forbiddenCharacter' : undefined;
}

function decodeSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
