import { toFileKey } from './parseSettings.js';
import type { Settings } from './settingsSchema.js';

/**
 * Lists the keys in which two settings differ, as `section.key` in the spelling of the file.
 * @param before - Settings in force.
 * @param after - Settings of the changed file.
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
