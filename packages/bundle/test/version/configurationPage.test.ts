import * as fs from 'node:fs/promises';
import { expect } from 'chai';
import * as kinds from '../../src/version/sections/sectionKinds.js';

const PAGE = new URL('../../../../docs/configuration.md', import.meta.url);

describe('tables of docs/configuration.md', () => {
  it('guards against a key of the section files that the page omits or shows with the wrong requirement', async () => {
    const lines = (await fs.readFile(PAGE, 'utf8')).split('\n');
    const start = lines.findIndex((line) => line.startsWith('### `fleet.ini`'));
    const end = lines.findIndex((line) => line.startsWith('### Request targets'));
    const shown = lines.slice(start, end).flatMap((line) => {
      const row = /^\| `([a-z-]+)` +\| (\(required\)|\S+)/.exec(line);
      return row === null ? [] : [`${row[1]} ${row[2] === '(required)'}`];
    });
    const expected = Object.values(kinds).flatMap((kind) =>
      Object.entries(kind.keys).map(([key, rule]) => `${key} ${!('fallback' in rule)}`),
    );
    expect(shown.sort()).to.deep.equal(expected.sort());
  });
});
