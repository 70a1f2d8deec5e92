import type { membership, node } from '@tanagerpond/core';
import * as z from 'zod';
import type { ConfigurationSource } from '../../ports/index.js';
import type { Log } from '../log/index.js';
import type { Counters } from '../metrics/index.js';
import { PlatformClient } from './PlatformClient.js';
import { PlatformError } from './PlatformError.js';
import { OutageTracker } from './OutageTracker.js';
import { ValueWatch } from './ValueWatch.js';

/** Options of a platform reader. */
export interface PlatformReaderOptions {
  /** `IP:port` of the platform. */
  readonly address: string;
  /** Maximum wait of one watch request, in milliseconds. */
  readonly waitMs: number;
  readonly publish: (message: node.NodeMessage) => void;
  readonly counters: Counters;
  readonly log: Log;
  /** Returns the monotonic time in milliseconds. */
  readonly now: () => number;
}

const BUNDLE_PATH = '/configuration/bundle';

const VMS_PATH = '/vms';

/**
 * Lower bound of the maximum jitter after a new VM list, which wakes all nodes at once, in milliseconds. The list lags by
 * more than this anyway.
 */
const MIN_VMS_JITTER_MS = 500;

/**
 * Maximum jitter per listed VM after a new VM list, in milliseconds. All nodes together then send at most 1,000 watches a
 * second, half of what the service allows.
 */
const VMS_JITTER_PER_VM_MS = 1;

/**
 * Maximum jitter after a new bundle, in milliseconds. It is short because few nodes watch and new versions must spread
 * within seconds.
 */
const BUNDLE_JITTER_MS = 50;

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

/** Configuration source that reads the configuration bundle and the VM list of the platform. */
export class PlatformReader implements ConfigurationSource {
  readonly #options: PlatformReaderOptions;

  readonly #client: PlatformClient;

  readonly #bundle: ValueWatch;

  readonly #vms: ValueWatch;

  #reading = false;

  #listedVms = 0;

  /** Outages by path, because either path may fail alone. */
  readonly #outageTrackers: Readonly<Record<string, OutageTracker>>;

  /** Index of the newest value that was read, by path. */
  readonly #indices = new Map<string, number>();

  /** @param options - Address of the platform, and the callback that receives the values. */
  constructor(options: PlatformReaderOptions) {
    this.#options = options;
    this.#client = new PlatformClient(options.address);
    this.#outageTrackers = {
      [BUNDLE_PATH]: new OutageTracker(options.now),
      [VMS_PATH]: new OutageTracker(options.now),
    };
    const common = { client: this.#client, waitMs: options.waitMs };
    this.#bundle = new ValueWatch({
      ...common,
      path: BUNDLE_PATH,
      computeMaxJitterMs: () => BUNDLE_JITTER_MS,
      onValue: (envelope, index) => this.#acceptBundle(envelope, index),
      onUnchanged: () => this.#recordAnswer('configuration', BUNDLE_PATH),
      onFailure: (error) => this.#reportBundle(error),
    });
    this.#vms = new ValueWatch({
      ...common,
      path: VMS_PATH,
      computeMaxJitterMs: () => Math.max(MIN_VMS_JITTER_MS, this.#listedVms * VMS_JITTER_PER_VM_MS),
      onValue: (text, index) => this.#acceptList(text, index),
      onUnchanged: () => {
        this.#recordAnswer('membership', VMS_PATH);
        options.publish({ kind: 'listConfirmed' });
      },
      onFailure: (error) => this.#report('membership', error),
    });
  }

  /** Starts to watch the VM list. */
  start(): void {
    this.#vms.start();
  }

  /** Reads the bundle once and publishes `envelopeRead` or `serviceUnavailable`; no effect during such a read. */
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
   * Starts or stops watching the bundle.
   * @param enabled - Whether to watch.
   */
  setWatch(enabled: boolean): void {
    if (enabled) {
      this.#bundle.start();
    } else {
      this.#bundle.stop();
    }
  }

  /** Counts and ignores the command: a configuration that peers verify by its signature is compared with theirs. */
  renewWatch(): void {
    this.#options.counters.count('watch_renewals_ignored');
  }

  /** Counts and ignores a document: nodes with this source exchange signed sections instead of documents. */
  acceptDocument(): void {
    this.#options.counters.count('documents_ignored');
  }

  /** Stops both watches and aborts every read. */
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
    const outage = this.#outageTrackers[path].recordFailure();
    const fields = { path, fault, status, ...outage, ...this.#describeNewest(path) };
    this.#options.log.write('warn', part, 'platform read failed', fields);
  }

  #recordAnswer(part: string, path: string): void {
    const outage = this.#outageTrackers[path].recordAnswer();
    if (outage !== undefined) {
      const fields = { path, ...outage, ...this.#describeNewest(path) };
      this.#options.log.write('info', part, 'platform is reachable again', fields);
    }
  }

  /** Returns the index of the newest value that was read from a path, as a log field. */
  #describeNewest(path: string): { readonly index?: number } {
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
