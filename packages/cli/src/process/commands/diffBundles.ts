import type { Bundle } from '@tanagerpond/bundle';
import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';
import type { JsonOptions } from './bundleCommands.js';
import { readEnvelope } from './readEnvelope.js';

/**
 * One difference between two bundles. For a changed field, `field` is set and `old` and `next` hold its values; for a
 * whole section, `next` is `added` or `old` is `removed`.
 */
export interface Difference {
  /** Section header, such as `workspace north`. */
  readonly section: string;
  readonly field?: string;
  readonly old?: unknown;
  readonly next?: unknown;
}

/** Length to which printed key digests are shortened; the prefix is enough to find a digest in the INI file. */
const DIGEST_CHARACTERS = 8;

/**
 * Prints the differences between the bundles in two envelope files. Signatures are not verified.
 * @param oldFile - Envelope of the active bundle.
 * @param nextFile - Envelope to be rolled out.
 * @param options - Whether to print JSON.
 * @param terminal - Output for the result.
 */
export async function diffBundles(
  oldFile: string,
  nextFile: string,
  options: JsonOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const old = await readEnvelope(oldFile, terminal);
  const next = await readEnvelope(nextFile, terminal);
  if (old === undefined || next === undefined) {
    return EXIT.badInput;
  }
  const differences = compareBundles(old.bundle, next.bundle);
  const versions = { old: old.bundle.version, next: next.bundle.version };
  if (options.json) {
    terminal.write(JSON.stringify({ versions, differences }));
    return EXIT.done;
  }
  terminal.write(`version ${versions.old} -> ${versions.next}`);
  differences.forEach((difference) => terminal.write(describeDifference(difference)));
  if (differences.length === 0) {
    terminal.write('no difference');
  }
  return EXIT.done;
}

/**
 * Compares two bundles section by section and returns their differences.
 * @param old - Active bundle.
 * @param next - Bundle to be rolled out.
 */
export function compareBundles(old: Bundle, next: Bundle): readonly Difference[] {
  return [
    ...compareFields('fleet', old.fleet, next.fleet),
    ...compareMaps('workspace', old.workspaces, next.workspaces),
    ...compareMaps('service', old.services, next.services),
    ...compareMaps('route', old.routes, next.routes),
  ];
}

function compareMaps(
  kind: string,
  old: ReadonlyMap<string, object>,
  next: ReadonlyMap<string, object>,
): readonly Difference[] {
  const names = [...new Set([...old.keys(), ...next.keys()])];
  return names.flatMap((name): readonly Difference[] => {
    const section = `${kind} ${name}`;
    const [before, after] = [old.get(name), next.get(name)];
    if (before === undefined) {
      return [{ section, next: 'added' }];
    }
    return after === undefined
      ? [{ section, old: 'removed' }]
      : compareFields(section, before, after);
  });
}

function compareFields(section: string, old: object, next: object): readonly Difference[] {
  const before: Record<string, unknown> = { ...old };
  const after: Record<string, unknown> = { ...next };
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((field) => JSON.stringify(before[field]) !== JSON.stringify(after[field]))
    .map((field) => ({ section, field, old: before[field], next: after[field] }));
}

function describeDifference({ section, field, old, next }: Difference): string {
  if (field === undefined) {
    return `${section}: ${old ?? next}`;
  }
  if (Array.isArray(old) && Array.isArray(next)) {
    const added = next.filter((item) => !old.includes(item)).map((item) => `+${shorten(item)}`);
    const removed = old.filter((item) => !next.includes(item)).map((item) => `-${shorten(item)}`);
    return `${section}: ${field} ${[...added, ...removed].join(' ') || 'in another order'}`;
  }
  return `${section}: ${field} ${String(old)} -> ${String(next)}`;
}

function shorten(item: unknown): string {
  const text = String(item);
  return /^[0-9a-f]{64}$/.test(text) ? text.slice(0, DIGEST_CHARACTERS) : text;
}
