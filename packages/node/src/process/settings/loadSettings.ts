import { readFile } from 'node:fs/promises';
import { Result } from 'true-myth';
import { parseSettings } from './parseSettings.js';
import { SettingsError } from './SettingsError.js';
import type { SettingsFault } from './SettingsError.js';
import type { Settings } from './settingsSchema.js';

/**
 * Loads and validates a settings file. Without `plain-text`, the TLS files that it names must be readable PEM files.
 * @param file - Path of the file.
 * @returns The settings, or an error with every fault that was found.
 */
export async function loadSettings(file: string): Promise<Result<Settings, SettingsError>> {
  const text = await readText(file);
  if (text === undefined) {
    const fault = { file, section: '', key: '', expected: 'a readable file' };
    return Result.err(new SettingsError([fault]));
  }
  const parsed = parseSettings(file, text);
  if (parsed.isErr) {
    return parsed;
  }
  const faults = await checkTlsFiles(file, parsed.value);
  return faults.length > 0 ? Result.err(new SettingsError(faults)) : parsed;
}

async function checkTlsFiles(file: string, { tls }: Settings): Promise<readonly SettingsFault[]> {
  const keys = tls.plainText ? [] : (['certificate', 'key', 'authorities'] as const);
  const faults = await Promise.all(
    keys.map(async (key) => {
      const text = await readText(tls[key] ?? '');
      return text?.includes('-----BEGIN ') === true
        ? []
        : [{ file, section: 'tls', key, expected: 'a readable PEM file' }];
    }),
  );
  return faults.flat();
}

async function readText(file: string): Promise<string | undefined> {
  try {
    return await readFile(file, 'utf8');
  } catch {
    return undefined;
  }
}
