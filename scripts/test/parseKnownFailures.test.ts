import { expect } from 'chai';
import { KnownFailuresError, parseKnownFailures } from '../knownFailures/index.js';

const FILE = 'list.txt';

const ENTRY = [
  'test: Ledger guards against a double spend',
  'command: npx mocha --grep "a double spend"',
  'seed: -42',
  'seen: expected 1 to equal 2',
  'issue: 14',
];

function replaceLine(index: number, line: string): string {
  return ENTRY.with(index, line).join('\n');
}

function describeError(text: string): string {
  try {
    parseKnownFailures(text, FILE);
  } catch (error) {
    if (error instanceof KnownFailuresError) return `${error.line}: ${error.message}`;
    throw error;
  }
  return 'none';
}

describe('parseKnownFailures', () => {
  it('guards against an entry that is lost next to comments, empty lines or CRLF line ends', () => {
    const second = replaceLine(0, 'test: another');
    const text = `# fix these first\n\n${ENTRY.join('\n')}\n\n\n# next\r\n${second.replaceAll('\n', '\r\n')}`;
    expect(parseKnownFailures(text, FILE)).to.deep.equal([
      {
        test: 'Ledger guards against a double spend',
        command: 'npx mocha --grep "a double spend"',
        seed: '-42',
        seen: 'expected 1 to equal 2',
        issue: '14',
      },
      {
        test: 'another',
        command: 'npx mocha --grep "a double spend"',
        seed: '-42',
        seen: 'expected 1 to equal 2',
        issue: '14',
      },
    ]);
  });

  it('guards against an error for an empty list or one of comments', () => {
    expect(parseKnownFailures('', FILE)).to.deep.equal([]);
    expect(parseKnownFailures('\n# none\n', FILE)).to.deep.equal([]);
  });

  const malformed: readonly (readonly [what: string, text: string, line: number])[] = [
    ['an unknown field', replaceLine(1, 'comand: npm test'), 2],
    ['a field out of order', [ENTRY[1], ENTRY[0], ...ENTRY.slice(2)].join('\n'), 1],
    ['an empty value', replaceLine(0, 'test: '), 1],
    ['a space after a value', replaceLine(0, 'test: Ledger '), 1],
    ['two spaces before a value', replaceLine(0, 'test:  Ledger'), 1],
    ['a seed that is not an integer', replaceLine(2, 'seed: some'), 3],
    ['a description of more than 200 characters', replaceLine(3, `seen: ${'a'.repeat(201)}`), 4],
    ['an issue that is not a number', replaceLine(4, 'issue: #14'), 5],
    ['an entry without an issue', `${ENTRY.slice(0, 4).join('\n')}\n\n${ENTRY.join('\n')}`, 5],
    ['an entry without an issue at the end of the file', ENTRY.slice(0, 4).join('\n'), 5],
    ['an entry with six lines', `${ENTRY.join('\n')}\nissue: 15`, 6],
    ['two entries without an empty line', `${ENTRY.join('\n')}\n${ENTRY.join('\n')}`, 6],
    ['a test that is listed twice', `${ENTRY.join('\n')}\n\n${ENTRY.join('\n')}`, 7],
    ['a line of spaces', `${ENTRY.join('\n')}\n  \n`, 6],
  ];
  malformed.forEach(([what, text, line]) => {
    it(`guards against the acceptance of ${what}`, () => {
      expect(describeError(text)).to.match(new RegExp(`^${line}: ${FILE}:${line}: expected `));
    });
  });
});
