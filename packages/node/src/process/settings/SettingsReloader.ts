import type { Result } from 'true-myth';
import type { ProcessLog } from '../log/index.js';
import { listChangedKeys } from './listChangedKeys.js';
import { loadSettings } from './loadSettings.js';
import type { SettingsError } from './SettingsError.js';
import type { Settings } from './settingsSchema.js';

/** Replaces settings by what the environment of the process tells. */
export type AdaptSettings = (settings: Settings) => Result<Settings, SettingsError>;

/** Keys that take effect on a reload; all others need a restart. */
const RELOADABLE_KEYS: ReadonlySet<string> = new Set(['log.level']);

/** Reloads the settings file and applies the keys that need no restart. A file that is not valid changes nothing. */
export class SettingsReloader {
  readonly #file: string;

  readonly #log: ProcessLog;

  readonly #adapt: AdaptSettings;

  #current: Settings;

  /**
   * @param file - Settings file.
   * @param settings - Settings that the process started with.
   * @param log - Log of the process; its level follows the file.
   * @param adapt - Replaces settings of the file by what the environment tells.
   */
  constructor(file: string, settings: Settings, log: ProcessLog, adapt: AdaptSettings) {
    this.#file = file;
    this.#current = settings;
    this.#log = log;
    this.#adapt = adapt;
  }

  /** Reloads the file and logs which keys changed and which of them need a restart. */
  async run(): Promise<void> {
    const loaded = (await loadSettings(this.#file)).andThen(this.#adapt);
    if (loaded.isErr) {
      const { message } = loaded.error;
      this.#log.write('error', 'settings', 'reload failed; current settings stay in effect', {
        message,
      });
      return;
    }
    const changed = listChangedKeys(this.#current, loaded.value);
    const restartKeys = changed.filter((key) => !RELOADABLE_KEYS.has(key));
    this.#current = { ...this.#current, log: loaded.value.log };
    this.#log.setLevel(loaded.value.log.level);
    this.#log.write('info', 'settings', 'reloaded', {
      changed: changed.join(' '),
      needsRestart: restartKeys.join(' '),
    });
  }
}
