import type { membership, node } from '@tanagerpond/core';
import * as z from 'zod';
import type { ConfigurationSource } from '../../ports/index.js';
import type { Log } from '../log/index.js';
import type { Counters } from '../metrics/index.js';
import { PlatformClient } from './PlatformClient.js';
import { PlatformError } from './PlatformError.js';
import { OutageTracker } from './OutageTracker.js';
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
  /** Monotonic milliseconds. */
  readonly now: () => number;
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
export class PlatformReader implements ConfigurationSource {
  readonly #options: PlatformReaderOptions;

  readonly #client: PlatformClient;

  readonly #bundle: ValueWatch;

  readonly #vms: ValueWatch;

  #reading = false;

  #listedVms = 0;

  /** Each of the two paths may fail alone. */
  readonly #reachability: Readonly<Record<string, OutageTracker>>;

  /** Index of the newest value of each path that was read. */
  readonly #indices = new Map<string, number>();

  /** @param options - Address of the platform and where values go. */
  constructor(options: PlatformReaderOptions) {
    this.#options = options;
    this.#client = new PlatformClient(options.address);
    this.#reachability = {
      [BUNDLE_PATH]: new OutageTracker(options.now),
      [VMS_PATH]: new OutageTracker(options.now),
    };
    const common = { client: this.#client, waitMs: options.waitMs };
    this.#bundle = new ValueWatch({
      ...common,
      path: BUNDLE_PATH,
      computeMaxJitterMs: () => BUNDLE_SPREAD_MS,
      onValue: (envelope, index) => this.#acceptBundle(envelope, index),
      onUnchanged: () => this.#recordAnswer('configuration', BUNDLE_PATH),
      onFailure: (error) => this.#reportBundle(error),
    });
    this.#vms = new ValueWatch({
      ...common,
      path: VMS_PATH,
      computeMaxJitterMs: () =>
        Math.max(SHORTEST_VMS_SPREAD_MS, this.#listedVms * VMS_SPREAD_PER_VM_MS),
      onValue: (text, index) => this.#acceptList(text, index),
      onUnchanged: () => {
        this.#recordAnswer('membership', VMS_PATH);
        options.publish({ kind: 'listConfirmed' });
      },
      onFailure: (error) => this.#report('membership', error),
    });
  }

  /** Begins to watch the VM list. */
  start(): void {
    this.#vms.start();
  }

  /** Reads the bundle once; `envelopeRead` or `serviceUnavailable` follows. */
  readConfiguration(): void {
    if (this.#reading) {
      return;
    }
    this.#reading = true;
    void this.#client.read(BUNDLE_PATH).then((result) => {
      this.#reading = false;
      if (result.isErr) {
        this.#reportBundle(result.error);
      } else {
        this.#acceptBundle(result.value.text, result.value.index);
      }
    });
  }

  /**
   * Starts or stops the watch of the bundle.
   * @param enabled - The watch is to run.
   */
  setConfigurationWatch(enabled: boolean): void {
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

  #acceptBundle(envelope: string, index: number): void {
    this.#recordAnswer('configuration', BUNDLE_PATH);
    this.#indices.set(BUNDLE_PATH, index);
    this.#options.publish({ kind: 'envelopeRead', envelope });
  }

  #acceptList(text: string, index: number): void {
    const vms = parseVmList(text);
    if (vms === undefined) {
      this.#report('membership', new PlatformError(VMS_PATH, 'malformed'));
      return;
    }
    this.#recordAnswer('membership', VMS_PATH);
    this.#indices.set(VMS_PATH, index);
    this.#listedVms = vms.length;
    this.#options.publish({ kind: 'vmsListed', vms });
  }

  #reportBundle(error: PlatformError): void {
    this.#report('configuration', error);
    this.#options.publish({ kind: 'serviceUnavailable' });
  }

  #report(part: string, error: PlatformError): void {
    this.#options.counters.count(`platform_${error.fault}`);
    const { path, fault, status = 0 } = error;
    const outage = this.#reachability[path].recordFailure();
    const fields = { path, fault, status, ...outage, ...this.#describeKnown(path) };
    this.#options.log.write('warn', part, 'platform read failed', fields);
  }

  #recordAnswer(part: string, path: string): void {
    const outage = this.#reachability[path].recordAnswer();
    if (outage !== undefined) {
      const fields = { path, ...outage, ...this.#describeKnown(path) };
      this.#options.log.write('info', part, 'platform answers again', fields);
    }
  }

  /** Describes the newest value that was read before. */
  #describeKnown(path: string): { readonly index?: number } {
    const index = this.#indices.get(path);
    return index === undefined ? {} : { index };
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
