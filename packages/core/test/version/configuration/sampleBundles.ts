import * as crypto from 'node:crypto';
import { signBundle, type SectionTexts } from '@tanagerpond/bundle';

/** DER header of an Ed25519 private key in PKCS #8; 32 bytes of seed follow. */
const PKCS8_HEADER = Buffer.from('302e020100300506032b657004220420', 'hex');

/** Key pair that is the same in every run, so that golden files are stable; it signs nothing but test bundles. */
const KEY = crypto.createPrivateKey({
  key: Buffer.concat([PKCS8_HEADER, crypto.createHash('sha256').update('test bundles').digest()]),
  format: 'der',
  type: 'pkcs8',
});

export const TRUSTED_KEY = KEY.export({ format: 'jwk' }).x ?? '';

const TEXTS: SectionTexts = {
  'fleet.ini': '[fleet]\nmax-vms = 20\n',
  'workspaces.ini': '[workspace north]\nrate = 100\nburst = 200\n',
  'services.ini': '[service shop]\nslots = 8\nconnections = 60\nqueue = 16\n',
  'routes.ini': '[route shop.browse]\nmethod = GET\npath = /walks\nrepeatable = yes\n',
};

/**
 * Signs a sample bundle with the given rate in its workspaces section.
 * @param version - Version of the manifest.
 * @param rate - Rate of the workspace; with a different rate, the section differs.
 */
export function signSample(version: number, rate = 100 + version): string {
  const texts = { ...TEXTS, 'workspaces.ini': TEXTS['workspaces.ini'].replace('100', `${rate}`) };
  return signTexts(version, texts);
}

/**
 * Signs any valid texts with the test key.
 * @param version - Version of the manifest.
 * @param texts - Content of the four files.
 */
export function signTexts(version: number, texts: SectionTexts): string {
  const privateKey = KEY.export({ type: 'pkcs8', format: 'pem' }).toString();
  const signed = signBundle(texts, { version, signedAt: new Date(0), privateKey });
  return signed.unwrapOrElse((error) => {
    throw new Error(JSON.stringify(error));
  });
}

/**
 * Signs a manifest without checking it, and returns its envelope.
 * @param manifest - Text of the manifest.
 * @param sections - Content of the four files.
 */
export function signUnchecked(manifest: string, sections: SectionTexts): string {
  const signature = crypto.sign(null, Buffer.from(manifest), KEY).toString('base64');
  return JSON.stringify({ manifest, signature, sections });
}
