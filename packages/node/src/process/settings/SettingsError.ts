/** One fault of a settings file. */
export interface SettingsFault {
  readonly file: string;
  /** Empty when the fault concerns the whole file. */
  readonly section: string;
  /** Empty when the fault concerns a whole section. */
  readonly key: string;
  /** What the file should have there, such as `a known key`. */
  readonly expected: string;
}

/** A settings file is not valid. Carries every fault that was found; the message has one line for each. */
export class SettingsError extends Error {
  /** @param faults - At least one. */
  constructor(readonly faults: readonly SettingsFault[]) {
    super(faults.map(describeFault).join('\n'));
    this.name = 'SettingsError';
  }
}

function describeFault({ file, section, key, expected }: SettingsFault): string {
  const place = [section === '' ? '' : ` [${section}]`, key === '' ? '' : ` ${key}`].join('');
  return `${file}:${place} expected ${expected}`;
}
