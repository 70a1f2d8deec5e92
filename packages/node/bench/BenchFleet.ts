import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { createKey, digestKey, generateSigningKeys, signBundle } from '@tanagerpond/bundle';
import { request } from 'undici';
import type { NodeAddresses } from '../src/index.js';

const NODE_BINARY = fileURLToPath(new URL('../dist/bin/tanagerpondNode.js', import.meta.url));

const BACKEND_SCRIPT = fileURLToPath(new URL('./backendServer.ts', import.meta.url));

/** Backend address of the entry node, which has no backend server; nothing listens on it. */
const NO_BACKEND = '127.0.0.1:1';

/** Time limit for the start of a process, in milliseconds. */
const START_LIMIT_MS = 20_000;

interface StartedNode {
  readonly child: ChildProcess;
  readonly addresses: NodeAddresses;
}

/** Two node processes and a backend server process, with a platform that runs in this process. */
export class BenchFleet {
  readonly key = createKey();

  readonly #closers: (() => Promise<void> | void)[] = [];

  readonly #platform = { index: 1, envelope: '', vms: [] as object[] };

  #publicKey = '';

  #folder = '';

  #nodes: Readonly<Record<'entry' | 'exit', StartedNode>> | undefined;

  #backend = '';

  /** Address of the backend server, for direct calls. */
  get backend(): string {
    return this.#backend;
  }

  /** Address of the caller listener of the entry node. */
  get caller(): string {
    return this.#findNode('entry').addresses.caller;
  }

  /** Starts every process and waits until the nodes are ready. */
  async start(): Promise<void> {
    this.#folder = await mkdtemp(path.join(tmpdir(), 'host-bench-'));
    this.#closers.push(() => rm(this.#folder, { recursive: true }));
    await this.#signBundle();
    const platform = await this.#servePlatform();
    const tsx = fileURLToPath(import.meta.resolve('tsx'));
    const backend = await this.#spawn(['--import', tsx, BACKEND_SCRIPT]);
    this.#backend = (backend.line as { readonly address: string }).address;
    this.#nodes = {
      entry: await this.#startNode('entry', 'front', NO_BACKEND, platform),
      exit: await this.#startNode('exit', 'bench', this.#backend, platform),
    };
    this.#platform.vms = Object.entries({ entry: 'front', exit: 'bench' }).map(
      ([name, service]) => ({
        name,
        service,
        failureDomain: 'local',
        peerAddress: this.#findNode(name as 'entry' | 'exit').addresses.peer,
        state: 'live',
      }),
    );
    this.#platform.index += 1;
  }

  /**
   * Reads the CPU time that a node has used since its start, in milliseconds.
   * @param node - Node to read from.
   */
  async readCpuMs(node: 'entry' | 'exit'): Promise<number> {
    const answer = await request(`http://${this.#findNode(node).addresses.admin}/metrics`);
    const text = await answer.body.text();
    const seconds = /^tanagerpond_process_cpu_seconds_total ([0-9.e+-]+)/m.exec(text)?.[1];
    return Number(seconds) * 1_000;
  }

  /** Stops every process and removes the settings files. */
  async [Symbol.asyncDispose](): Promise<void> {
    for (let index = this.#closers.length - 1; index >= 0; index--) {
      await this.#closers[index]();
    }
  }

  #findNode(name: 'entry' | 'exit'): StartedNode {
    if (this.#nodes === undefined) {
      throw new Error('start() of the fleet has not completed');
    }
    return this.#nodes[name];
  }

  async #signBundle(): Promise<void> {
    const keys = await generateSigningKeys();
    this.#publicKey = keys.publicKey;
    const signed = signBundle(
      {
        'fleet.ini': `[fleet]
max-vms = 2
share-lease = 1s
extra-attempts = 1
max-depth = 2
ticket-life = 1m
default-deadline = 5s
max-deadline = 5s
poison-block = 1m
`,
        'workspaces.ini': `[workspace bench]
rate = 100000
burst = 100000
weight = 1
key-digests = ${digestKey(this.key)}
`,
        'services.ini': `[service front]
slots = 100
connections = 100
queue = 100

[service bench]
slots = 100
connections = 100
queue = 100
`,
        'routes.ini': `[route bench.echo]
method = POST
path = /echo
priority = 1
repeatable = yes
max-body = 4KiB
max-answer = 4KiB
`,
      },
      { version: 1, signedAt: new Date(), privateKey: keys.privateKey },
    );
    if (signed.isErr) {
      throw new Error(JSON.stringify(signed.error));
    }
    this.#platform.envelope = signed.value;
  }

  async #servePlatform(): Promise<string> {
    const server: Server = createServer((incoming, outgoing) => {
      const url = new URL(incoming.url ?? '', 'http://platform');
      const { index, envelope, vms } = this.#platform;
      const isNew = index > Number(url.searchParams.get('after') ?? 0);
      outgoing.setHeader('platform-index', index);
      const text = url.pathname === '/vms' ? JSON.stringify({ index, vms }) : envelope;
      const waitMs = isNew ? 0 : Number(url.searchParams.get('waitMs') ?? 0);
      setTimeout(() => {
        outgoing.writeHead(isNew ? 200 : 304);
        outgoing.end(isNew ? text : undefined);
      }, waitMs);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    this.#closers.push(() => {
      server.closeAllConnections();
      server.close();
    });
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
  }

  async #startNode(
    name: string,
    service: string,
    backend: string,
    platform: string,
  ): Promise<StartedNode> {
    const file = path.join(this.#folder, `${name}.ini`);
    const listen = ['caller', 'egress', 'peer', 'admin'].map((key) => `${key} = 127.0.0.1:0\n`);
    await writeFile(
      file,
      `[vm]\nname = ${name}\nservice = ${service}\nfailure-domain = local\n` +
        `[listen]\n${listen.join('')}[backend]\naddress = ${backend}\n` +
        `[platform]\naddress = ${platform}\nwait-ms = 500\n` +
        `[trust]\nsigning-keys = ${this.#publicKey}\n[tls]\nplain-text = yes\n`,
    );
    const { child, line } = await this.#spawn([NODE_BINARY, '--settings', file]);
    return { child, addresses: (line as { readonly addresses: NodeAddresses }).addresses };
  }

  /** Starts a process and parses the first line of its output as JSON. */
  async #spawn(
    options: readonly string[],
  ): Promise<{ readonly child: ChildProcess; readonly line: unknown }> {
    const child = spawn(process.execPath, options, { stdio: ['ignore', 'pipe', 'inherit'] });
    this.#closers.push(() => {
      child.kill('SIGKILL');
    });
    const line = await new Promise<string>((resolve, reject) => {
      let text = '';
      const timer = setTimeout(
        () => reject(new Error('process printed no line in time')),
        START_LIMIT_MS,
      );
      child.stdout.on('data', (bytes: Buffer) => {
        text += bytes.toString();
        if (text.includes('\n')) {
          clearTimeout(timer);
          resolve(text);
        }
      });
    });
    return { child, line: JSON.parse(line) as unknown };
  }
}
