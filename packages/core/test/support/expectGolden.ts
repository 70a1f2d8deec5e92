import * as fs from 'node:fs/promises';
import { expect } from 'chai';

const FOLDER = new URL('../golden/', import.meta.url);

/**
 * Compares the text of a whole session with its golden file. `npm run golden:renew` rewrites the files; their changes
 * are then reviewed like any others.
 * @param name - Name of the golden file, without its extension.
 * @param lines - Lines of the session, each with one message or command.
 */
export async function expectGolden(name: string, lines: readonly string[]): Promise<void> {
  const file = new URL(`${name}.golden`, FOLDER);
  const text = `${lines.join('\n')}\n`;
  if (process.env.TANAGERPOND_GOLDEN === 'renew') {
    await fs.mkdir(FOLDER, { recursive: true });
    await fs.writeFile(file, text);
    return;
  }
  expect(text).to.equal(await fs.readFile(file, 'utf8'));
}
