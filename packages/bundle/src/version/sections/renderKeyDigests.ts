import { Result } from 'true-myth';
import type { BundleError, BundleProblem } from '../BundleError.js';

const HEADER_PATTERN = /^\s*\[\s*(?:workspace\s+)?([^\]\s]+)\s*\]\s*$/;
const DIGESTS_PATTERN = /^\s*key-digests\s*=/;

/**
 * Replaces the key digests in the text of a `workspaces.ini`, for examples and tests that create caller keys at run
 * time.
 * @param text - Content of `workspaces.ini`.
 * @param digests - New key digests by workspace name. Each of these workspaces must have a `key-digests` line.
 * @returns The new text, or `sectionsInvalid` with the workspaces that are missing or have no such line.
 */
export function renderKeyDigests(
  text: string,
  digests: ReadonlyMap<string, readonly string[]>,
): Result<string, BundleError> {
  const missing = new Set(digests.keys());
  let workspace = '';
  const lines = text.split('\n').map((line) => {
    workspace = HEADER_PATTERN.exec(line)?.[1] ?? workspace;
    const own = digests.get(workspace);
    if (own === undefined || !DIGESTS_PATTERN.test(line)) {
      return line;
    }
    missing.delete(workspace);
    return `key-digests = ${own.join(', ')}`;
  });
  if (missing.size === 0) {
    return Result.ok(lines.join('\n'));
  }
  const problems = [...missing].map((name): BundleProblem => {
    const expected = 'a workspace with a key-digests line';
    return { file: 'workspaces.ini', section: `workspace ${name}`, key: 'key-digests', expected };
  });
  return Result.err({ kind: 'sectionsInvalid', problems });
}
