import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import { collector, time } from '@tanagerpond/testkit';
import { buildBackendOptions, type BackendTuning } from './buildBackendOptions.js';
import type { Deployment } from './Deployment.js';
import { LinkTable } from './LinkTable.js';
import type { ManagedProcess } from './ManagedProcess.js';
import { Platform } from './Platform.js';
import { waitAll } from './waitAll.js';
import { VirtualMachine } from './VirtualMachine.js';

export interface FleetOptions {
  readonly deployment: Deployment;
  readonly tuning: BackendTuning;
  /** Every peer connection goes through a relay that can cut it. */
  readonly hasRelays: boolean;
}

/** Nodes that take longer to become ready than this are reported. */
const SERVING_LIMIT_MS = 30_000;
const SERVING_POLL_MS = 100;

/** What the state dump of a node says about its start. */
interface NodeReadiness {
  readonly isReady?: boolean;
  readonly bundleVersion?: number | null;
  readonly shares?: { readonly own?: { readonly ready?: boolean } };
}

/** State of a VM in the platform's list; an absent VM is not listed. */
export type ListState = 'live' | 'leaving' | 'absent';

/** Platform, run collector, and one backend server and node for every VM. Owns everything that it starts. */
export class Fleet {
  readonly runCollector = new collector.RunCollector();

  readonly links = new LinkTable();

  readonly vms = new Map<string, VirtualMachine>();

  readonly #options: FleetOptions;

  readonly #listStates = new Map<string, ListState>();

  #platform: Platform | undefined;

  #folder = '';

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  get deployment(): Deployment {
    return this.#options.deployment;
  }

  get platform(): Platform {
    return this.#platform!;
  }

  /** Starts everything and publishes the bundle and the list; what started stays owned when a part fails. */
  async start(): Promise<void> {
    this.#folder = await fs.mkdtemp(path.join(os.tmpdir(), 'tanagerpond-scenario-'));
    const collectorAddress = await this.runCollector.open();
    this.#platform = await Platform.start();
    await this.publishBundle();
    await waitAll(
      this.deployment.vms.map(async (plan, index) => {
        const vm = new VirtualMachine(plan, {
          folder: this.#folder,
          platform: await this.platform.openReader(plan.name),
          publicKey: this.deployment.publicKey,
          backendOptions: buildBackendOptions(this.deployment, plan, {
            ...this.#options.tuning,
            collector: `http://${collectorAddress}`,
            seed: this.#options.tuning.seed + index,
          }),
        });
        this.vms.set(plan.name, vm);
        await vm.startBackend();
        await vm.startNode();
      }),
    );
    if (this.#options.hasRelays) {
      await this.links.open(this.#collectPeers());
    }
    await this.publishList();
  }

  /**
   * Waits until every node serves. A new node lends and uses no share of the rates for one lease.
   * @throws Error when a node is not ready in time.
   */
  async waitServing(signal?: AbortSignal): Promise<void> {
    const endMs = performance.now() + SERVING_LIMIT_MS;
    while (!(await this.#isServing())) {
      if (performance.now() > endMs || signal?.aborted === true) {
        throw new Error(`the nodes were not ready in ${SERVING_LIMIT_MS} ms`);
      }
      await time.waitFor(SERVING_POLL_MS, signal);
    }
  }

  /** Signs the present sections and publishes them. */
  async publishBundle(): Promise<void> {
    await this.platform.send('/bundle', this.deployment.sign());
  }

  /** Publishes the VM list with the states that were set. */
  async publishList(): Promise<void> {
    const vms = [...this.vms.values()].flatMap(({ plan, listeners }) => {
      const state = this.#listStates.get(plan.name) ?? 'live';
      return state === 'absent' ? [] : [{ ...plan, peerAddress: listeners.peer, state }];
    });
    await this.platform.send('/vms', { vms, addresses: this.links.addresses });
  }

  /** Sets the state in which the list shows a VM. */
  async setListState(vm: string, state: ListState): Promise<void> {
    this.#listStates.set(vm, state);
    await this.publishList();
  }

  /** Lists the caller listeners of all VMs, or of the named ones. */
  listEntries(names?: readonly string[]): readonly string[] {
    return [...this.vms.values()]
      .filter((vm) => names === undefined || names.includes(vm.plan.name))
      .map((vm) => vm.listeners.caller);
  }

  /** Lists the processes that run now. */
  listProcesses(): readonly ManagedProcess[] {
    const all = [...this.vms.values()].flatMap((vm) => [vm.node, vm.backend]);
    return [this.#platform?.process, ...all].flatMap((each) =>
      each?.isRunning === true ? [each] : [],
    );
  }

  /** Slows down every running backend server of a service by a factor. */
  async setSlowdown(service: string, factor: number): Promise<void> {
    const affected = [...this.vms.values()].filter(
      (vm) => vm.plan.service === service && vm.backend?.isRunning === true,
    );
    await Promise.all(affected.map((vm) => vm.sendBackend('/faults', { slowdown: factor })));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.vms.values()].map((vm) => vm[Symbol.asyncDispose]()));
    await this.links[Symbol.asyncDispose]();
    await this.#platform?.[Symbol.asyncDispose]();
    await this.runCollector[Symbol.asyncDispose]();
    if (this.#folder !== '') {
      await fs.rm(this.#folder, { recursive: true, force: true });
    }
  }

  async #isServing(): Promise<boolean> {
    const dumps = await Promise.all([...this.vms.values()].map((vm) => vm.readState()));
    return dumps.every((dump) => {
      const decisions = dump?.decisions as NodeReadiness | undefined;
      return (
        decisions?.isReady === true &&
        decisions.bundleVersion === this.deployment.version &&
        decisions.shares?.own?.ready === true
      );
    });
  }

  #collectPeers(): ReadonlyMap<string, string> {
    return new Map([...this.vms].map(([name, vm]) => [name, vm.listeners.peer]));
  }
}
