import * as http from 'node:http';
import * as connection from '../../connection/index.js';
import { ReadCounter } from './ReadCounter.js';
import { VersionedValue } from './VersionedValue.js';

/** How the platform answers; `silent` accepts requests and never answers, `down` breaks the connection. */
export type PlatformMode = 'normal' | 'stale' | 'silent' | 'down';

/** The two services of the platform, which fail independently. */
export type PlatformPart = 'bundle' | 'list';

/** One VM as the list has it. */
export interface ListedVm {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/** A VM list with the peer addresses that each reader is to use, by reader and VM; for cutting single links. */
export interface PublishedList {
  readonly vms: readonly ListedVm[];
  readonly addresses?: Readonly<Record<string, Readonly<Record<string, string>>>>;
}

const PARTS: Readonly<Record<string, PlatformPart>> = {
  '/configuration/bundle': 'bundle',
  '/vms': 'list',
};

/** Stands for the platform: configuration service and VM list, read-only for nodes. */
export class PlatformServer {
  readonly #bundle = new VersionedValue<string>();

  readonly #list = new VersionedValue<PublishedList>();

  readonly #counter = new ReadCounter();

  readonly #servers: http.Server[] = [];

  readonly #modes: Record<PlatformPart, PlatformMode> = { bundle: 'normal', list: 'normal' };

  /**
   * Opens a listener for one reader.
   * @param reader - Name of the VM that reads there; it gets its own peer addresses.
   * @returns `127.0.0.1:port`.
   */
  async open(reader: string): Promise<string> {
    const server = http.createServer((request, response) => {
      void this.#serve(reader, request, response);
    });
    this.#servers.push(server);
    return connection.openLoopback(server);
  }

  /** Publishes a bundle envelope. */
  publishBundle(envelope: string): void {
    this.#bundle.publish(envelope, 0);
  }

  /**
   * Publishes a VM list.
   * @param list - VMs and addresses.
   * @param lagMs - Time until readers see it, in milliseconds.
   */
  publishList(list: PublishedList, lagMs: number): void {
    this.#list.publish(list, lagMs);
  }

  /** Sets how requests to one part are answered from now on. */
  setMode(part: PlatformPart, mode: PlatformMode): void {
    this.#modes[part] = mode;
    const value = part === 'bundle' ? this.#bundle : this.#list;
    value.setStale(mode === 'stale');
    if (mode === 'down') {
      this.#servers.forEach((server) => server.closeAllConnections());
    }
  }

  /** Shows the mode and the reads so far. */
  snapshot(nowMs: number): object {
    return { modes: { ...this.#modes }, ...this.#counter.snapshot(nowMs) };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.#servers.map((server) => connection.closeServer(server)));
  }

  async #serve(
    reader: string,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    this.#counter.recordCall(performance.now());
    const url = new URL(request.url ?? '/', 'http://platform');
    const part = PARTS[url.pathname];
    if (part === undefined) {
      connection.answerJson(response, 404, { error: 'no such resource' });
      return;
    }
    if (this.#modes[part] === 'down') {
      request.socket.destroy();
      return;
    }
    if (this.#modes[part] === 'silent') {
      return;
    }
    const value = part === 'bundle' ? this.#bundle : this.#list;
    const isChanged = await this.#awaitChange(value, url.searchParams, request);
    if (response.destroyed || this.#isUnavailable(part)) {
      response.destroy();
      return;
    }
    if (!isChanged) {
      response.writeHead(304, { 'platform-index': String(value.index) }).end();
      return;
    }
    this.#answer(part, reader, response);
  }

  #isUnavailable(part: PlatformPart): boolean {
    return this.#modes[part] === 'down' || this.#modes[part] === 'silent';
  }

  async #awaitChange(
    value: VersionedValue<unknown>,
    query: URLSearchParams,
    request: http.IncomingMessage,
  ): Promise<boolean> {
    const after = query.get('after');
    if (after === null) {
      return true;
    }
    const end = this.#counter.recordWatch();
    const isChanged = await value.waitForChange(
      Number(after),
      Number(query.get('waitMs')),
      request,
    );
    end();
    return isChanged;
  }

  #answer(part: PlatformPart, reader: string, response: http.ServerResponse): void {
    if (part === 'list') {
      connection.answerJson(response, 200, this.#showList(reader));
      return;
    }
    if (this.#bundle.value === undefined) {
      connection.answerJson(response, 404, { error: 'no bundle was published' });
      return;
    }
    response.writeHead(200, {
      'content-type': 'application/json',
      'platform-index': String(this.#bundle.index),
    });
    response.end(this.#bundle.value);
  }

  #showList(reader: string): object {
    const list = this.#list.value ?? { vms: [] };
    const addresses = list.addresses?.[reader] ?? {};
    const vms = list.vms.map((vm) => ({
      ...vm,
      peerAddress: addresses[vm.name] ?? vm.peerAddress,
    }));
    return { index: this.#list.index, vms };
  }
}
