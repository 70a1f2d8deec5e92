import * as http from 'node:http';
import * as connection from '../../connection/index.js';
import { ReadCounter } from './ReadCounter.js';
import { VersionedValue } from './VersionedValue.js';

/**
 * How the platform answers: `stale` keeps serving the value that it had when the mode was set, `silent` accepts
 * requests and never answers, `down` closes the connection.
 */
export type PlatformMode = 'normal' | 'stale' | 'silent' | 'down';

/** The two services of the platform, configuration service and VM list, which can fail independently. */
export type PlatformPart = 'bundle' | 'list';

/** Entry of the VM list. */
export interface ListedVm {
  readonly name: string;
  readonly service: string;
  readonly failureDomain: string;
  readonly peerAddress: string;
  readonly state: 'live' | 'leaving';
}

/**
 * A VM list. `addresses` overrides the peer address of a VM for single readers, by reader and VM, so that each link can
 * go through a relay of its own.
 */
export interface PublishedList {
  readonly vms: readonly ListedVm[];
  readonly addresses?: Readonly<Record<string, Readonly<Record<string, string>>>>;
}

const PARTS: Readonly<Record<string, PlatformPart>> = {
  '/configuration/bundle': 'bundle',
  '/vms': 'list',
};

/** Simulates the platform: the configuration service and the VM list, from which nodes read. */
export class PlatformServer {
  readonly #bundle = new VersionedValue<string>();

  readonly #list = new VersionedValue<PublishedList>();

  readonly #counter = new ReadCounter();

  readonly #servers: http.Server[] = [];

  readonly #modes: Record<PlatformPart, PlatformMode> = { bundle: 'normal', list: 'normal' };

  /**
   * Opens a listener for one reader.
   * @param reader - Name of the VM that reads from this listener; selects its overridden peer addresses.
   * @returns `127.0.0.1:port`.
   */
  async open(reader: string): Promise<string> {
    const server = http.createServer((request, response) => {
      void this.#serve(reader, request, response);
    });
    this.#servers.push(server);
    return connection.openLoopback(server);
  }

  /** Publishes a bundle envelope. Its content is not checked. */
  publishBundle(envelope: string): void {
    this.#bundle.publish(envelope, 0);
  }

  /**
   * Publishes a VM list.
   * @param list - VMs, and peer addresses for single readers.
   * @param lagMs - Delay until readers see the list, in milliseconds.
   */
  publishList(list: PublishedList, lagMs: number): void {
    this.#list.publish(list, lagMs);
  }

  /** Sets how requests to one part are answered from now on. `down` also closes all open connections of both parts. */
  setMode(part: PlatformPart, mode: PlatformMode): void {
    this.#modes[part] = mode;
    const value = part === 'bundle' ? this.#bundle : this.#list;
    value.setStale(mode === 'stale');
    if (mode === 'down') {
      this.#servers.forEach((server) => server.closeAllConnections());
    }
  }

  /** Returns the mode of each part and the counts of `ReadCounter`. */
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
    const isChanged = await this.#waitForChange(value, url.searchParams, request);
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

  async #waitForChange(
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
      connection.answerJson(response, 200, this.#buildList(reader));
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

  #buildList(reader: string): object {
    const list = this.#list.value ?? { vms: [] };
    const addresses = list.addresses?.[reader] ?? {};
    const vms = list.vms.map((vm) => ({
      ...vm,
      peerAddress: addresses[vm.name] ?? vm.peerAddress,
    }));
    return { index: this.#list.index, vms };
  }
}
