import { create } from '@bufbuild/protobuf';
import { digestText, parseEnvelope, SECTION_FILES } from '@tanagerpond/bundle';
import { FrameSchema } from '@tanagerpond/wire';
import { expect } from 'chai';
import type { ConfigurationFrame } from '../../../src/version/configuration/index.js';
import { signSample, signUnchecked } from './sampleBundles.js';
import { TrackerFleet, type FleetNode } from './TrackerFleet.js';

describe('ConfigurationTracker with versions that it must refuse', () => {
  let fleet: TrackerFleet;
  let node: FleetNode;

  beforeEach(() => {
    fleet = new TrackerFleet(6, 3);
    fleet.service = signSample(5);
    fleet.start();
    fleet.runFor(5_000);
    node = fleet.nodes.get('vm-0') ?? expect.fail('no node');
  });

  it('guards against a version that is adopted with an invalid signature', () => {
    receive(createAnnouncement(signSample(6), 6, Buffer.alloc(64)));
    expect(node.rejected).to.deep.equal(['signatureInvalid']);
    fleet.run('vm-0', node.tracker.offerEnvelope(signSample(6).replace(':6', ':7'), fleet.nowMs));
    expect(node.rejected).to.deep.equal(['signatureInvalid', 'signatureInvalid']);
    fleet.runFor(5_000);
    expect(fleet.isEverywhere(5)).to.equal(true);
  });

  it('guards against an old manifest that is adopted because it is announced as a newer version', () => {
    receive(createAnnouncement(signSample(4), 9));
    expect(node.rejected).to.deep.equal(['manifestMalformed']);
    fleet.runFor(5_000);
    expect(node.version).to.equal(5);
  });

  it('guards against an invalid bundle that is fetched repeatedly', () => {
    const { envelope, texts } = signInvalid(6);
    receive(createAnnouncement(envelope, 6));
    texts.forEach((content) => {
      const value = {
        digest: Buffer.from(digestText(content), 'hex'),
        content: Buffer.from(content),
      };
      receive(createFrame({ case: 'sectionReply', value }));
    });
    expect(node.rejected).to.deep.equal(['sectionsInvalid']);
    fleet.log.length = 0;
    receive(createAnnouncement(envelope, 6));
    fleet.run('vm-0', node.tracker.offerEnvelope(envelope, fleet.nowMs));
    expect(fleet.log).to.deep.equal([]);
    expect(node.version).to.equal(5);
  });

  it('guards against a section that is accepted though it was not requested or was modified in transit', () => {
    receive(createAnnouncement(signSample(6), 6));
    const content = Buffer.from('[workspace north]\nrate = 9\nburst = 9\n');
    const digest = Buffer.from(digestText(content), 'hex');
    const reply = createFrame({ case: 'sectionReply', value: { digest, content } });
    fleet.stop('vm-1');
    for (let second = 0; second < 11; second++) {
      receive(reply);
      fleet.runFor(1_000);
    }
    expect(node.version).to.equal(5);
    expect(node.tracker.snapshot(fleet.nowMs)).to.include({ fetch: null });
  });

  it('guards against a fetch that waits for a source whose link is down', () => {
    receive(createAnnouncement(signSample(6), 6), 'vm-1');
    receive(createAnnouncement(signSample(6), 6), 'vm-2');
    const [command] = node.tracker.recordLink('vm-1', false, fleet.nowMs);
    expect(command).to.deep.include({ kind: 'sendRequest', peer: 'vm-2' });
  });

  it('guards against a fetch that waits for a source that never answers', () => {
    receive(createAnnouncement(signSample(6), 6), 'vm-1');
    receive(createAnnouncement(signSample(6), 6), 'vm-2');
    fleet.log.length = 0;
    fleet.stop('vm-1');
    fleet.stop('vm-2');
    fleet.runFor(3_000);
    const asked = fleet.log.filter((line) => /vm-0 .*sectionRequest/.test(line));
    expect(asked.map((line) => /to (vm-\d)/.exec(line)?.[1])).to.include('vm-2');
  });

  function receive(frame: ConfigurationFrame, from = 'vm-1'): void {
    fleet.run('vm-0', node.tracker.receive(from, frame, fleet.nowMs));
  }
});

function createFrame(body: ConfigurationFrame['body'] | object): ConfigurationFrame {
  return create(FrameSchema, { body: body as ConfigurationFrame['body'] }) as ConfigurationFrame;
}

function createAnnouncement(
  text: string,
  version: number,
  signature?: Uint8Array,
): ConfigurationFrame {
  const envelope = parseEnvelope(text).unwrapOrElse(() => expect.fail('not parsed'));
  const value = {
    version,
    manifest: Buffer.from(envelope.manifest),
    signature: signature ?? Buffer.from(envelope.signature, 'base64'),
  };
  return createFrame({ case: 'manifestAnnouncement', value });
}

/** Signs four sections that no node of this release can parse, as a newer release of the command line might. */
function signInvalid(version: number): { envelope: string; texts: readonly string[] } {
  const sections = {
    'fleet.ini': '[future]\n',
    'workspaces.ini': '[future]\nx = 1\n',
    'services.ini': '[future]\nx = 2\n',
    'routes.ini': '[future]\nx = 3\n',
  };
  const digests = SECTION_FILES.map((file) => [file, digestText(sections[file])]);
  const signedAt = new Date(0).toISOString();
  const manifest = JSON.stringify({ version, signedAt, sections: Object.fromEntries(digests) });
  return { envelope: signUnchecked(manifest, sections), texts: Object.values(sections) };
}
