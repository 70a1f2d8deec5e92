import { readFile } from 'node:fs/promises';
import { expect } from 'chai';
import {
  parseSettings,
  settingsSchema,
  toFileKey,
  toSchemaKey,
} from '../../../src/process/settings/index.js';
import type { SettingsFault } from '../../../src/process/settings/index.js';
import { renderSettings } from '../../support/RelayPair.js';

const OUTSIDE = { backend: '127.0.0.1:1', platform: '127.0.0.1:2' };

const EXAMPLE = new URL('../../../examples/node.ini', import.meta.url);

/** Applies one change to a valid file and returns the faults that are found. */
function findFaults(from: string | RegExp, to: string): readonly SettingsFault[] {
  const text = renderSettings('a', OUTSIDE).replace(from, to);
  const parsed = parseSettings('node.ini', text);
  return parsed.isErr ? parsed.error.faults : [];
}

describe('parseSettings', () => {
  it('guards against an example file that differs from the schema in keys or defaults', async () => {
    const text = await readFile(EXAMPLE, 'utf8');
    const parsed = parseSettings('node.ini', text);
    if (parsed.isErr) {
      throw parsed.error;
    }
    const complete = parseSettings('node.ini', text.replace(/^; ([a-z-]+ = )/gm, '$1'));
    expect(complete.isOk && complete.value).to.deep.equal(parsed.value);
    Object.entries(settingsSchema.shape).forEach(([section, schema]) => {
      const start = text.indexOf(`\n[${section}]\n`);
      const end = text.indexOf('\n[', start + 1);
      const part = text.slice(start, end === -1 ? undefined : end);
      const keys = [...part.matchAll(/^(?:; )?([a-z-]+) = /gm)].map(([, key]) => toSchemaKey(key));
      expect(keys.sort(), section).to.deep.equal(Object.keys(schema.shape).sort());
      expect(keys.map(toFileKey).map(toSchemaKey)).to.deep.equal(keys);
    });
  });

  it('guards against a wrong value, key or section that is accepted or reported without its place', () => {
    const file = 'node.ini';
    const cases: [string | RegExp, string, Omit<SettingsFault, 'file'>][] = [
      ['name = a', 'nmae = a', { section: 'vm', key: 'nmae', expected: 'a known key' }],
      ['[vm]', '[vmm]\nx = 1\n[vm]', { section: 'vmm', key: '', expected: 'a known section' }],
      ['[vm]', 'x = 1\n[vm]', { section: 'x', key: '', expected: 'a known section' }],
      [
        'egress = 127.0.0.1:0',
        'egress = 10.0.0.1:80',
        { section: 'listen', key: 'egress', expected: 'a loopback address as IP:port' },
      ],
      [
        'caller = 127.0.0.1:0',
        'caller = localhost:80',
        { section: 'listen', key: 'caller', expected: 'an address as IP:port' },
      ],
      [
        'caller = 127.0.0.1:0',
        'caller = 127.0.0.1:65536',
        { section: 'listen', key: 'caller', expected: 'an address as IP:port' },
      ],
      [
        'wait-ms = 100',
        'wait-ms = 1e3',
        { section: 'platform', key: 'wait-ms', expected: 'a whole number from 100 to 300000' },
      ],
      [
        'name = a',
        'name = a\nname = b',
        { section: 'vm', key: 'name', expected: 'the key only once' },
      ],
      [
        'peer = 127.0.0.1:0',
        'peer = 10.0.0.1:80',
        {
          section: 'tls',
          key: 'plain-text',
          expected: 'no, because the peer listener is not on loopback',
        },
      ],
      [
        'plain-text = yes',
        'certificate = a\nkey = b',
        { section: 'tls', key: 'authorities', expected: 'the path of a PEM file' },
      ],
      [
        /signing-keys = .*/,
        'signing-keys = AAAA',
        {
          section: 'trust',
          key: 'signing-keys',
          expected: 'ed25519 public keys of 43 base64url characters, separated by commas',
        },
      ],
      [
        '[tls]',
        '[bodies]\nbudget = 20000000\n[tls]',
        {
          section: 'bodies',
          key: 'budget',
          expected: 'at least twice max-body, for a request and its answer',
        },
      ],
    ];
    cases.forEach(([from, to, fault]) => {
      expect(findFaults(from, to), to).to.deep.include({ file, ...fault });
    });
    expect(findFaults('', '')).to.deep.equal([]);
  });

  it('guards against a missing required section or key that is silently accepted', () => {
    const faults = findFaults(/\[backend\]\naddress = .*/, '');
    expect(faults.map(({ section, key }) => [section, key])).to.deep.equal([['backend', '']]);
    const keys = findFaults('service = s\n', '').map(({ section, key }) => [section, key]);
    expect(keys).to.deep.equal([['vm', 'service']]);
  });
});
