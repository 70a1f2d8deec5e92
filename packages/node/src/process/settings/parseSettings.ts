import ini from 'ini';
import { Result } from 'true-myth';
import type * as z from 'zod';
import { SettingsError } from './SettingsError.js';
import type { SettingsFault } from './SettingsError.js';
import { isLoopback, OPTIONAL_SECTIONS, settingsSchema } from './settingsSchema.js';
import type { Settings } from './settingsSchema.js';

/**
 * Parses and validates the text of a settings file.
 * @param file - Name of the file in errors.
 * @param text - Content of the file.
 * @returns The settings with defaults filled in, or an error with every fault that was found.
 */
export function parseSettings(file: string, text: string): Result<Settings, SettingsError> {
  const repeated = findRepeated(file, text);
  const sections = Object.fromEntries(OPTIONAL_SECTIONS.map((name) => [name, {}]));
  const parsed = settingsSchema.safeParse({ ...sections, ...readSections(text) });
  if (!parsed.success) {
    const faults = parsed.error.issues.flatMap((issue) => describeIssue(file, issue));
    return Result.err(new SettingsError([...repeated, ...faults]));
  }
  const faults = [...repeated, ...checkRelations(file, parsed.data)];
  return faults.length > 0 ? Result.err(new SettingsError(faults)) : Result.ok(parsed.data);
}

/**
 * Converts a key of a settings file to the key of the schema.
 * @param key - Key in kebab case.
 */
export function toSchemaKey(key: string): string {
  return key.replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase());
}

/**
 * Converts a key of the schema to the key of a settings file.
 * @param key - Key in camel case.
 */
export function toFileKey(key: string): string {
  return key.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

function readSections(text: string): Record<string, unknown> {
  const sections = Object.entries(ini.parse(text)).map(([name, section]): [string, unknown] => [
    name,
    typeof section === 'object' && section !== null ? readKeys(section) : section,
  ]);
  return Object.fromEntries(sections);
}

/**
 * Converts the keys to those of the schema, and the values back to text, which the schema expects: the library parses
 * `true`, `false` and `null`. A camel-case key such as `maxBody` is lower-cased, so that the schema refuses it.
 */
function readKeys(section: object): Record<string, unknown> {
  const keys = Object.entries(section).map(([key, value]): [string, unknown] => [
    /[A-Z]/.test(key) ? key.toLowerCase() : toSchemaKey(key),
    typeof value === 'object' && value !== null ? value : String(value),
  ]);
  return Object.fromEntries(keys);
}

/** Finds keys that occur twice in a section; the parser would silently drop the first value. */
function findRepeated(file: string, text: string): readonly SettingsFault[] {
  const seen = new Set<string>();
  let section = '';
  return text.split(/\r?\n/).flatMap((line) => {
    section = /^\s*\[([^\]]*)\]/.exec(line)?.[1] ?? section;
    const key = /^\s*([^;#=[\s][^=]*?)\s*=/.exec(line)?.[1];
    const place = `${section}\n${key}`;
    if (key === undefined || !seen.has(place)) {
      seen.add(place);
      return [];
    }
    return [{ file, section, key, expected: 'the key only once' }];
  });
}

function describeIssue(file: string, issue: z.core.$ZodIssue): readonly SettingsFault[] {
  const [section = '', key = ''] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((unknown) =>
      section === ''
        ? { file, section: unknown, key: '', expected: 'a known section' }
        : { file, section, key: toFileKey(unknown), expected: 'a known key' },
    );
  }
  const expected = key === '' ? 'a section with its keys' : issue.message;
  return [{ file, section, key: toFileKey(key), expected }];
}

function checkRelations(file: string, settings: Settings): readonly SettingsFault[] {
  const { bodies, tls, listen, trust, peers } = settings;
  const faults: SettingsFault[] = [];
  if (bodies.budget < 2 * bodies.maxBody) {
    const expected = 'at least twice max-body, for a request and its answer';
    faults.push({ file, section: 'bodies', key: 'budget', expected });
  }
  if (trust.signingKeys.length === 0 && !trust.unsigned) {
    const expected = 'a key, unless unsigned is yes';
    faults.push({ file, section: 'trust', key: 'signing-keys', expected });
  }
  if (peers.transport === 'tcp' && !tls.plainText) {
    const expected = 'grpc, because plain-text is no';
    faults.push({ file, section: 'peers', key: 'transport', expected });
  }
  if (tls.plainText && !tls.trustedNetwork && !isLoopback(listen.peer)) {
    const expected = 'no, because the peer listener is not on loopback';
    faults.push({ file, section: 'tls', key: 'plain-text', expected });
  }
  if (!tls.plainText) {
    (['certificate', 'key', 'authorities'] as const)
      .filter((key) => tls[key] === undefined)
      .forEach((key) => {
        faults.push({ file, section: 'tls', key, expected: 'the path of a PEM file' });
      });
  }
  return faults;
}
