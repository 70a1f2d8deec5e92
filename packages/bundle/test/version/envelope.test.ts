import { expect } from 'chai';
import {
  generateSigningKeys,
  MAX_ENVELOPE_BYTES,
  signBundle,
  verifyEnvelope,
  type SigningKeys,
} from '../../src/index.js';
import { SAMPLE } from '../sampleSections.js';

describe('verifyEnvelope', () => {
  let keys: SigningKeys;
  let envelope: string;

  before(async () => {
    keys = await generateSigningKeys();
    envelope = sign(SAMPLE['workspaces.ini']);
  });

  it('guards against a correctly signed envelope that is refused', () => {
    const bundle = verifyEnvelope(envelope, [keys.publicKey]);
    expect(bundle.map(({ version }) => version).unwrapOr(0)).to.equal(12);
  });

  it('guards against an accepted envelope whose signing key is not trusted', async () => {
    const other = await generateSigningKeys();
    expectKind(envelope, 'signatureInvalid', [other.publicKey]);
    expectKind(envelope, 'signatureInvalid', []);
    expect(verifyEnvelope(envelope, [other.publicKey, keys.publicKey]).isOk).to.equal(true);
  });

  it('guards against an accepted envelope whose manifest or section was changed after signing', () => {
    expectKind(envelope.replace('\\"version\\":12', '\\"version\\":13'), 'signatureInvalid');
    expectKind(envelope.replace('rate = 100', 'rate = 900'), 'sectionMismatch');
  });

  it('guards against an accepted envelope with a valid manifest and sections of another bundle', () => {
    const other = JSON.parse(sign(SAMPLE['workspaces.ini'].replace('100', '900')));
    const mixed = { ...JSON.parse(envelope), sections: other.sections };
    expectKind(JSON.stringify(mixed), 'sectionMismatch');
  });

  it('guards against input that is accepted although it is no envelope or too large', () => {
    ['', '{', 'null', '[]', '{"manifest":"{}"}', envelope.slice(0, -2)].forEach((text) =>
      expectKind(text, 'envelopeMalformed'),
    );
    expectKind(envelope.replace('{', '{"extra":1,'), 'envelopeMalformed');
    expectKind('x'.repeat(MAX_ENVELOPE_BYTES + 1), 'envelopeTooLarge');
  });

  it('guards against signing a bundle that nodes would refuse', () => {
    const options = { version: 12, signedAt: new Date(0), privateKey: keys.privateKey };
    const invalid = { ...SAMPLE, 'fleet.ini': '[fleet]\n' };
    expect(signBundle(invalid, options).isErr).to.equal(true);
    expect(signBundle(SAMPLE, { ...options, version: 0 }).isErr).to.equal(true);
    expect(signBundle(SAMPLE, { ...options, privateKey: keys.publicKey }).isErr).to.equal(true);
    const large = `${SAMPLE['fleet.ini']}; ${'x'.repeat(MAX_ENVELOPE_BYTES)}\n`;
    const result = signBundle({ ...SAMPLE, 'fleet.ini': large }, options);
    expect(result.isErr && result.error.kind).to.equal('envelopeTooLarge');
  });

  function sign(workspaces: string): string {
    const options = { version: 12, signedAt: new Date(0), privateKey: keys.privateKey };
    const texts = { ...SAMPLE, 'workspaces.ini': workspaces };
    return signBundle(texts, options).unwrapOrElse(() => expect.fail('not signed'));
  }

  function expectKind(text: string, kind: string, trusted = [keys.publicKey]): void {
    const result = verifyEnvelope(text, trusted);
    expect(result.isErr && result.error.kind).to.equal(kind);
  }
});
