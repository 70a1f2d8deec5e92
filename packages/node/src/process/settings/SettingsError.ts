/** One fault of a settings file. */
export interface SettingsFault {
  readonly file: string;
  /** Empty when the fault concerns the file as a whole. */
  readonly section: string;
  /** Empty when the fault concerns a whole section. */
  readonly key: string;
  readonly expected: string;
}

/** A settings file that cannot be used, with every fault found. */
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
