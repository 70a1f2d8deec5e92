import { expect } from 'chai';
import * as fc from 'fast-check';
import { applyPatch, createPatch } from '../../../src/version/configuration/sectionPatch.js';

describe('section patches', () => {
  it('guards against a patch that restores a different section', () => {
    const text = fc.array(fc.constantFrom('a', 'b', 'ä', '\n'), { maxLength: 12 });
    fc.assert(
      fc.property(text, text, (left, right) => {
        const [base, next] = [Buffer.from(left.join('')), Buffer.from(right.join(''))];
        const restored = applyPatch(base, createPatch(base, next));
        expect(Buffer.from(restored ?? []).toString()).to.equal(next.toString());
      }),
    );
  });

  it('guards against a whole section that is sent for one edited line', () => {
    const base = Buffer.from('rate = 1\n'.repeat(9_000));
    const next = Buffer.from(base);
    next.write('2', 40_000 - (40_000 % 9) + 7);
    expect(createPatch(base, next).content.length).to.equal(1);
  });

  it('guards against a patch whose prefix and suffix are longer than the base', () => {
    const patch = { prefixBytes: 3, suffixBytes: 2, content: Buffer.from('x') };
    expect(applyPatch(Buffer.from('1234'), patch)).to.equal(undefined);
  });
});
