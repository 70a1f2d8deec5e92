import { toFileKey } from './parseSettings.js';
import type { Settings } from './settingsSchema.js';

/**
 * Lists the keys whose values differ between two settings, as `section.key` in the spelling of the file.
 * @param before - Current settings.
 * @param after - Settings of the reloaded file.
 */
export function listChangedKeys(before: Settings, after: Settings): readonly string[] {
  return (Object.keys(after) as (keyof Settings)[]).flatMap((section) => {
    const old: Readonly<Record<string, unknown>> = before[section];
    const changed = Object.entries(after[section]).filter(
      ([key, value]) => JSON.stringify(old[key]) !== JSON.stringify(value),
    );
    return changed.map(([key]) => `${section}.${toFileKey(key)}`);
  });
}
