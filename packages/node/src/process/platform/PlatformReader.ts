import type { membership, node } from '@tanagerpond/core';
import * as z from 'zod';
import type { StateSource } from '../../ports/index.js';
import type { Log } from '../log/index.js';
import type { Counters } from '../metrics/index.js';
import { PlatformClient } from './PlatformClient.js';
import { PlatformError } from './PlatformError.js';
import { ValueWatch } from './ValueWatch.js';

/** Options of the reader. */
export interface PlatformReaderOptions {
  /** `IP:port` of the platform. */
  readonly address: string;
  /** Longest wait of one watch, in milliseconds. */
  readonly waitMs: number;
  readonly publish: (message: node.NodeMessage) => void;
  readonly counters: Counters;
  readonly log: Log;
}

const BUNDLE_PATH = '/configuration/bundle';

const VMS_PATH = '/vms';

/** The list lags by more than this anyway; all nodes wake at once when it changes. */
const SHORTEST_VMS_SPREAD_MS = 500;

/** All nodes together then watch the list anew 1,000 times a second at most, half of what the service allows. */
const VMS_SPREAD_PER_VM_MS = 1;

/** Few nodes watch the bundle, and new versions must spread within seconds. */
const BUNDLE_SPREAD_MS = 50;

const vmListSchema = z.object({
  vms: z.array(
    z.object({
      name: z.string().min(1),
      service: z.string().min(1),
      failureDomain: z.string().min(1),
      peerAddress: z.string().min(1),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});

/** Reads the configuration service and the VM list of the platform. */
export class PlatformReader implements StateSource {
  readonly #options: PlatformReaderOptions;

  readonly #client: PlatformClient;

  readonly #bundle: ValueWatch;

  readonly #vms: ValueWatch;

  #reading = false;

  #listedVms = 0;

  /** @param options - Address of the platform and where values go. */
  constructor(options: PlatformReaderOptions) {
    this.#options = options;
    this.#client = new PlatformClient(options.address);
    const common = { client: this.#client, waitMs: options.waitMs };
    this.#bundle = new ValueWatch({
      ...common,
      path: BUNDLE_PATH,
      computeSpreadMs: () => BUNDLE_SPREAD_MS,
      onValue: (envelope) => options.publish({ kind: 'envelopeRead', envelope }),
      onFailure: (error) => this.#reportBundle(error),
    });
    this.#vms = new ValueWatch({
      ...common,
      path: VMS_PATH,
      computeSpreadMs: () =>
        Math.max(SHORTEST_VMS_SPREAD_MS, this.#listedVms * VMS_SPREAD_PER_VM_MS),
      onValue: (text) => this.#acceptList(text),
      onSame: () => options.publish({ kind: 'listConfirmed' }),
      onFailure: (error) => this.#report('membership', error),
    });
  }

  /** Begins to watch the VM list. */
  start(): void {
    this.#vms.start();
  }

  /** Reads the bundle once; `envelopeRead` or `serviceUnavailable` follows. */
  readService(): void {
    if (this.#reading) {
      return;
    }
    this.#reading = true;
    void this.#client.read(BUNDLE_PATH).then((result) => {
      this.#reading = false;
      if (result.isErr) {
        this.#reportBundle(result.error);
      } else {
        this.#options.publish({ kind: 'envelopeRead', envelope: result.value.text });
      }
    });
  }

  /**
   * Starts or stops the watch of the bundle.
   * @param enabled - The watch is to run.
   */
  watchService(enabled: boolean): void {
    if (enabled) {
      this.#bundle.start();
    } else {
      this.#bundle.stop();
    }
  }

  /** Peers of this source exchange signed sections instead of documents. */
  acceptDocument(): void {
    this.#options.counters.count('documents_ignored');
  }

  /** Ends all reads. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#vms.stop();
    this.#bundle.stop();
    await this.#client[Symbol.asyncDispose]();
  }

  #acceptList(text: string): void {
    const vms = parseVmList(text);
    if (vms === undefined) {
      this.#report('membership', new PlatformError(VMS_PATH, 'malformed'));
      return;
    }
    this.#listedVms = vms.length;
    this.#options.publish({ kind: 'vmsListed', vms });
  }

  #reportBundle(error: PlatformError): void {
    this.#report('configuration', error);
    this.#options.publish({ kind: 'serviceUnavailable' });
  }

  #report(part: string, error: PlatformError): void {
    this.#options.counters.count(`platform_${error.fault}`);
    const fields = { path: error.path, fault: error.fault, status: error.status ?? 0 };
    this.#options.log.write('warn', part, 'platform read failed', fields);
  }
}

function parseVmList(text: string): readonly membership.VmRecord[] | undefined {
  try {
    const parsed = vmListSchema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data.vms : undefined;
  } catch {
    return undefined;
  }
}
