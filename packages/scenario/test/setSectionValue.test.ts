import { expect } from 'chai';
import { setSectionValue } from '../src/process/fleet/setSectionValue.js';

const TEXT = '; a\n[workspace north]\nrate = 1\nburst = 2\n\n[workspace south]\nrate = 3\n';

describe('setSectionValue', () => {
  it('guards against a value that is set in another section, and a lost line', () => {
    expect(setSectionValue(TEXT, 'workspace south', 'rate', '9')).to.equal(
      TEXT.replace('rate = 3', 'rate = 9'),
    );
    expect(setSectionValue(TEXT, 'workspace south', 'burst', '9')).to.equal(
      TEXT.replace('[workspace south]\n', '[workspace south]\nburst = 9\n'),
    );
    expect(setSectionValue(TEXT, 'workspace', 'rate', '9')).to.equal(undefined);
  });
});
