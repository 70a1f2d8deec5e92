import type { IncomingMessage, ServerResponse } from 'node:http';
import { Writable } from 'node:stream';
import { fetch } from 'undici';
import { createLogger, NodeProcess, parseSettings } from '../../src/index.js';
import type { NodeAddresses } from '../../src/index.js';
import { RelayDecisionEngine } from './RelayDecisionEngine.js';
import { StubServer } from './StubServer.js';
import { waitFor } from './waitFor.js';

/** A running node whose decision engine only relays calls. */
export interface RelayNode {
  readonly host: NodeProcess;
  readonly decisions: RelayDecisionEngine;
  readonly addresses: NodeAddresses;
}

type BackendHandler = (incoming: IncomingMessage, outgoing: ServerResponse, body: Buffer) => void;

/** Addresses of the stub servers. */
interface Outside {
  readonly backend: string;
  readonly platform: string;
}

/** Maximum wait of one watch request for the VM list, in milliseconds. */
const WATCH_MS = 100;

/** Nodes `a` and `b` that share a backend server, and a platform that lists both. */
export class RelayPair {
  private constructor(
    readonly a: RelayNode,
    readonly b: RelayNode,
    private readonly closers: readonly AsyncDisposable[],
  ) {}

  /**
   * Starts the pair and waits until both nodes have received the complete VM list.
   * @param handle - Answers every request to the backend server except `/health`.
   * @param extra - Additional sections of the settings files.
   */
  static async start(handle: BackendHandler, extra = ''): Promise<RelayPair> {
    const backend = new StubServer((incoming, outgoing, body) => {
      if (incoming.url === '/health') {
        outgoing.end('{"state":"healthy"}');
      } else {
        handle(incoming, outgoing, body);
      }
    });
    const list = { index: 1, vms: [] as object[] };
    const platform = createPlatform(list);
    const outside = { backend: await backend.listen(), platform: await platform.listen() };
    const a = await startNode('a', outside, extra);
    const b = await startNode('b', outside, extra);
    list.vms = Object.entries({ a, b }).map(([name, { addresses }]) => ({
      name,
      service: 's',
      failureDomain: 'd',
      peerAddress: addresses.peer,
      state: 'live',
    }));
    list.index = 2;
    await waitFor('the list at both nodes', () =>
      [a, b].every(({ decisions }) => decisions.find('vmsListed').at(-1)?.vms.length === 2),
    );
    return new RelayPair(a, b, [a.host, b.host, backend, platform]);
  }

  /** Reads the state dump of a node. */
  async readState(node: 'a' | 'b'): Promise<StateDump> {
    const answer = await fetch(`http://${this[node].addresses.admin}/state`);
    return (await answer.json()) as StateDump;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.closers.map((closer) => closer[Symbol.asyncDispose]()));
  }
}

/** Parts of a state dump that tests read. */
export interface StateDump {
  readonly bodies: { readonly used: number; readonly count: number; readonly peak: number };
  readonly counters: { readonly host: Readonly<Record<string, number>> };
  readonly links: { readonly outbound: readonly { readonly calls: number }[] };
}

/**
 * Renders a settings file whose listeners use free ports.
 * @param name - Name of the VM.
 * @param outside - Addresses of the backend server and the platform.
 * @param extra - Additional sections.
 */
export function renderSettings(name: string, outside: Outside, extra = ''): string {
  return `
[vm]
name = ${name}
service = s
failure-domain = d
[listen]
caller = 127.0.0.1:0
egress = 127.0.0.1:0
peer = 127.0.0.1:0
admin = 127.0.0.1:0
[backend]
address = ${outside.backend}
[platform]
address = ${outside.platform}
wait-ms = ${WATCH_MS}
[trust]
signing-keys = ${Buffer.alloc(32).toString('base64url')}
[tls]
plain-text = yes
${extra}`;
}

async function startNode(name: string, outside: Outside, extra: string): Promise<RelayNode> {
  const settings = parseSettings(name, renderSettings(name, outside, extra));
  if (settings.isErr) {
    throw settings.error;
  }
  const decisions = new RelayDecisionEngine();
  const host = new NodeProcess({
    settings: settings.value,
    log: createLogger({
      level: 'error',
      stream: new Writable({ write: (_chunk, _encoding, done) => done() }),
      now: () => performance.now(),
    }),
    createDecisions: () => decisions,
  });
  return { host, decisions, addresses: await host.start() };
}

function createPlatform(list: { readonly index: number; readonly vms: object[] }): StubServer {
  return new StubServer((incoming, outgoing) => {
    const url = new URL(incoming.url ?? '', 'http://platform');
    if (url.pathname !== '/vms') {
      outgoing.writeHead(503).end();
      return;
    }
    const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
    const answer = (): void => {
      if (list.index > Number(url.searchParams.get('after') ?? 0)) {
        outgoing.end(JSON.stringify(list));
      } else {
        outgoing.writeHead(304).end();
      }
    };
    setTimeout(answer, waitMs);
  });
}
