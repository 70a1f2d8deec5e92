import * as path from 'node:path';
import * as url from 'node:url';
import { expect } from 'chai';
import {
  buildBundle,
  createKey,
  digestKey,
  loadSections,
  renderKeyDigests,
  type Bundle,
  type SectionTexts,
} from '../../src/index.js';

const EXAMPLES = url.fileURLToPath(new URL('../../../../examples', import.meta.url));

describe('examples', () => {
  ['ferreyra', 'rodopa'].forEach((name) => {
    it(`guards against an example ${name} that is invalid or has no call chain over three services`, async () => {
      const bundle = build(await load(name));
      expect(bundle.workspaces.size).to.equal(8);
      expect(bundle.services.size).to.equal(4);
      const chains = [...bundle.routes.values()].map(({ name: route }) =>
        countServices(bundle, route),
      );
      expect(Math.max(...chains)).to.equal(3);
    });

    it(`guards against POST routes of ${name} that are repeatable or not in the highest priority class`, async () => {
      const routes = [...build(await load(name)).routes.values()];
      const written = routes.filter(({ method }) => method === 'POST');
      expect(written.length).to.be.greaterThan(2);
      expect(written.every(({ priority, repeatable }) => priority === 0 && !repeatable)).to.equal(
        true,
      );
    });
  });

  it('guards against key digests that are rendered into the wrong workspace or silently dropped', async () => {
    const texts = await load('ferreyra');
    const digests = [digestKey(createKey()), digestKey(createKey())];
    const rendered = renderKeyDigests(
      texts['workspaces.ini'],
      new Map([['sierra-alta', digests]]),
    ).unwrapOrElse(() => expect.fail('not rendered'));
    const bundle = build({ ...texts, 'workspaces.ini': rendered });
    expect([...bundle.workspaceByKeyDigest]).to.deep.equal(
      digests.map((digest) => [digest, 'sierra-alta']),
    );
    expect(
      renderKeyDigests(texts['workspaces.ini'], new Map([['nobody', digests]])).isErr,
    ).to.equal(true);
  });

  it('guards against a directory without section files that is loaded as an empty bundle', async () => {
    const result = await loadSections(EXAMPLES);
    expect(
      result.isErr && result.error.kind === 'sectionsInvalid' && result.error.problems.length,
    ).to.equal(4);
  });
});

async function load(name: string): Promise<SectionTexts> {
  const texts = await loadSections(path.join(EXAMPLES, name));
  return texts.unwrapOrElse(() => expect.fail('not read'));
}

function build(texts: SectionTexts): Bundle {
  return buildBundle(1, 'd', texts).match({
    Ok: (bundle) => bundle,
    Err: (error) => expect.fail(JSON.stringify(error)),
  });
}

/** Returns the largest number of services in a call chain that starts at a route. */
function countServices(bundle: Bundle, name: string, seen: readonly string[] = []): number {
  const route = bundle.routes.get(name);
  const services = [...new Set([...seen, route?.service ?? ''])];
  const below = (route?.calls ?? []).map((call) => countServices(bundle, call, services));
  return Math.max(services.length, ...below);
}
