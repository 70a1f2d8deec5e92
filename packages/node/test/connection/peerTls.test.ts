import { copyFile, mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Writable } from 'node:stream';
import type { node } from '@tanagerpond/core';
import { expect } from 'chai';
import {
  buildFrame,
  connectGrpcPeer,
  PeerCredentials,
  PeerLinks,
  GrpcPeerServer,
} from '../../src/connection/index.js';
import { createLogger } from '../../src/index.js';
import { BodyStore } from '../../src/process/bodies/index.js';
import { Counters } from '../../src/process/metrics/index.js';
import { waitFor } from '../support/waitFor.js';

const FIXTURES = fileURLToPath(new URL('../fixtures/tls/', import.meta.url));

/** Links of one node and the address of its listener. */
interface Side {
  readonly links: PeerLinks;
  readonly messages: node.NodeMessage[];
  readonly address: string;
}

describe('mutual TLS between nodes', () => {
  let folder: string;
  let closers: AsyncDisposable[];

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'host-tls-'));
    closers = [];
  });

  afterEach(async () => {
    for (let index = closers.length - 1; index >= 0; index--) {
      await closers[index][Symbol.asyncDispose]();
    }
    await rm(folder, { recursive: true });
  });

  /** Copies a certificate fixture to the path that a node reads. */
  async function installCertificate(vm: string, name: string): Promise<void> {
    await copyFile(path.join(FIXTURES, `${name}.crt`), path.join(folder, `${vm}.crt`));
    await copyFile(path.join(FIXTURES, `${name}.key`), path.join(folder, `${vm}.key`));
  }

  async function createSide(vm: string, certificate: string): Promise<Side> {
    await installCertificate(vm, certificate);
    const messages: node.NodeMessage[] = [];
    const credentials = new PeerCredentials(
      {
        certificate: path.join(folder, `${vm}.crt`),
        key: path.join(folder, `${vm}.key`),
        authorities: path.join(FIXTURES, 'ca.crt'),
      },
      50,
    );
    const links = new PeerLinks({
      addWork: (task) => task(0),
      buildHello: () => buildFrame({ case: 'hello', value: { vm, incarnation: '0'.repeat(32) } }),
      connect: (peer, address) => connectGrpcPeer({ peer, address, credentials }),
      publish: (message) => messages.push(message),
      store: new BodyStore(1024),
      maxBody: 1024,
      counters: new Counters(),
      log: createLogger({
        level: 'error',
        stream: new Writable({ write: (_chunk, _encoding, done) => done() }),
        now: () => performance.now(),
      }),
      now: () => performance.now(),
    });
    const server = new GrpcPeerServer(credentials, (transport) => links.accept(transport));
    const port = await server.listen('127.0.0.1', 0);
    links.start();
    closers.push(server, links);
    return { links, messages, address: `127.0.0.1:${port}` };
  }

  function send(from: Side, to: string, address: string): void {
    from.links.replaceAddresses([
      { name: to, service: 's', failureDomain: 'd', peerAddress: address, state: 'live' },
    ]);
    from.links.sendRequest(to, buildFrame({ case: 'crashReport', value: { service: 's' } }));
  }

  function listKinds(side: Side): readonly string[] {
    return side.messages.map(({ kind }) => kind);
  }

  it('guards against links that fail to open with mutual TLS', async () => {
    const a = await createSide('a', 'a');
    const b = await createSide('b', 'b');
    send(a, 'b', b.address);
    await waitFor('the frame', () => b.messages.length === 2);
    expect(b.messages[0]).to.include({ kind: 'linkUp', peer: 'a', inbound: true });
    expect(b.messages[1]).to.include({ kind: 'peerFrame', peer: 'a', inbound: true });
    expect(a.messages).to.deep.equal([
      { kind: 'linkUp', peer: 'b', incarnation: '0'.repeat(32), inbound: false },
    ]);
  });

  it('guards against accepting a peer whose certificate is not signed by the authority or names another VM', async () => {
    const b = await createSide('b', 'b');
    const unsigned = await createSide('a', 'stranger');
    send(unsigned, 'b', b.address);
    await waitFor('the end of the unsigned link', () => unsigned.messages.length > 0);
    const renamed = await createSide('a', 'c');
    send(renamed, 'b', b.address);
    await waitFor('the end of the renamed link', () => renamed.messages.length > 0);
    expect([listKinds(unsigned), listKinds(renamed), listKinds(b)]).to.deep.equal([
      ['linkFailed'],
      ['linkFailed'],
      [],
    ]);
  });

  it('guards against sending to a listener whose certificate names another VM', async () => {
    const a = await createSide('a', 'a');
    const impostor = await createSide('b', 'c');
    send(a, 'b', impostor.address);
    await waitFor('the end of the link', () => a.messages.length > 0);
    expect([listKinds(a), listKinds(impostor)]).to.deep.equal([['linkFailed'], []]);
  });

  it('guards against renewed certificate files that take effect only after a restart', async () => {
    const b = await createSide('b', 'b');
    const a = await createSide('a', 'stranger');
    send(a, 'b', b.address);
    await waitFor('the failure', () => listKinds(a).includes('linkFailed'));
    await installCertificate('a', 'a');
    await new Promise((resolve) => {
      setTimeout(resolve, 400);
    });
    send(a, 'b', b.address);
    await waitFor('the link', () => listKinds(a).includes('linkUp'));
  });
});
