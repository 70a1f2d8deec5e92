import * as fs from 'node:fs/promises';
import { expect } from 'chai';
import { REFUSALS } from '../../src/request/index.js';

const PAGE = new URL('../../../../docs/operators.md', import.meta.url);
const ROW = /^\| `(\w+)` +\| (\d{3}) +\| `([a-z-]+)` +\| (yes|no) +\|/;
const OUTCOMES = { complete: 'complete', notRun: 'not-run', unknown: 'unknown' };

describe('table of refusals in docs/operators.md', () => {
  it('guards against a page whose status, outcome or retry-after of a refusal differs from the code', async () => {
    const lines = (await fs.readFile(PAGE, 'utf8')).split('\n');
    const shown = lines.flatMap((line) => {
      const row = ROW.exec(line);
      return row === null ? [] : [row.slice(1).join(' ')];
    });
    const expected = Object.entries(REFUSALS).map(
      ([reason, { status, outcome, retryAfter }]) =>
        `${reason} ${status} ${OUTCOMES[outcome]} ${retryAfter ? 'yes' : 'no'}`,
    );
    expect(shown.sort()).to.deep.equal(expected.sort());
  });
});
