import { expect } from 'chai';
import { readRateLimit } from '../../src/ports/index.js';

const NAME = 'limit';

describe('readRateLimit', () => {
  function read(...values: readonly string[]): ReturnType<typeof readRateLimit> {
    return readRateLimit(
      values.map((value) => [NAME, value]),
      NAME,
    );
  }

  it('guards against a decimal rate limit that is read as another number', () => {
    expect(['7', '14.9', '0.5', ' 3 '].map((value) => read(value))).to.deep.equal([
      7, 14.9, 0.5, 3,
    ]);
    expect(read()).to.equal('none');
  });

  it('guards against an effect of a rate limit that is negative, zero, no number, very large or named twice', () => {
    const odd = ['-1', '0', '0.0', 'NaN', 'Infinity', '', 'x', '1e3', '0x10', '5,6', '99999999999'];
    expect(odd.map((value) => read(value))).to.deep.equal(odd.map(() => 'malformed'));
    expect(read('5', '6')).to.equal('malformed');
  });
});
