import { Result } from 'true-myth';
import type { BundleError, BundleProblem } from '../BundleError.js';

const HEADER_PATTERN = /^\s*\[\s*(?:workspace\s+)?([^\]\s]+)\s*\]\s*$/;
const DIGESTS_PATTERN = /^\s*key-digests\s*=/;

/**
 * Fills key digests into the text of a `workspaces.ini`, for examples and tests whose keys are created at run time.
 * Every named workspace needs a `key-digests` line, whose value is replaced.
 * @param text - Content of `workspaces.ini`.
 * @param digests - Key digests by workspace name.
 * @returns The new text, or `sectionsInvalid` naming the workspaces without such a line.
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
    const expected = 'a key-digests line to fill in';
    return { file: 'workspaces.ini', section: `workspace ${name}`, key: 'key-digests', expected };
  });
  return Result.err({ kind: 'sectionsInvalid', problems });
}
