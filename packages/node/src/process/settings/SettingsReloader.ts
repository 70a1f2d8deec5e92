import type { ProcessLog } from '../log/index.js';
import { listChangedKeys } from './listChangedKeys.js';
import { loadSettings } from './loadSettings.js';
import type { Settings } from './settingsSchema.js';

/** Keys that take effect without a restart. */
const LIVE_KEYS: ReadonlySet<string> = new Set(['log.level']);

/** Reads the settings file again when the process is told to. Settings that are not valid change nothing. */
export class SettingsReloader {
  readonly #file: string;

  readonly #log: ProcessLog;

  #inForce: Settings;

  /**
   * @param file - Settings file.
   * @param settings - Settings that the process started with.
   * @param log - Log of the process, whose level follows the file.
   */
  constructor(file: string, settings: Settings, log: ProcessLog) {
    this.#file = file;
    this.#inForce = settings;
    this.#log = log;
  }

  /** Reads the file and says what has changed and what needs a restart. */
  async run(): Promise<void> {
    const loaded = await loadSettings(this.#file);
    if (loaded.isErr) {
      const { message } = loaded.error;
      this.#log.write('error', 'settings', 'reload failed, settings in force stay', { message });
      return;
    }
    const changed = listChangedKeys(this.#inForce, loaded.value);
    const waiting = changed.filter((key) => !LIVE_KEYS.has(key));
    this.#inForce = { ...this.#inForce, log: loaded.value.log };
    this.#log.setLevel(loaded.value.log.level);
    this.#log.write('info', 'settings', 'reloaded', {
      changed: changed.join(' '),
      needsRestart: waiting.join(' '),
    });
  }
}
