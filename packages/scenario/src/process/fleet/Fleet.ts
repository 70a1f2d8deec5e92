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
  /** Whether every peer connection goes through a relay, so that it can be cut. */
  readonly hasRelays: boolean;
}

/** Time within which all nodes must become ready. */
const READY_LIMIT_MS = 30_000;
const READY_POLL_MS = 100;

/** Part of a node's state dump that tells whether the node is ready. */
interface NodeReadiness {
  readonly isReady?: boolean;
  readonly bundleVersion?: number | null;
  readonly shares?: { readonly own?: { readonly ready?: boolean } };
}

/** State of a VM in the VM list of the platform; an `absent` VM is omitted from the list. */
export type ListState = 'live' | 'leaving' | 'absent';

/**
 * A running deployment: the platform, the run collector, and a backend server and a node for every VM. Disposal stops
 * everything that was started.
 */
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

  /**
   * Starts all processes and publishes the bundle and the VM list. If one part fails, disposal still stops the parts
   * that did start.
   */
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
   * Waits until every node is ready, has the latest bundle and uses its share of the rates. After its start, a node
   * neither uses nor lends its share for the duration of one lease.
   * @throws Error if a node is not ready within 30 s, or if the signal aborts.
   */
  async waitServing(signal?: AbortSignal): Promise<void> {
    const endMs = performance.now() + READY_LIMIT_MS;
    while (!(await this.#isServing())) {
      if (performance.now() > endMs || signal?.aborted === true) {
        throw new Error(`not all nodes were ready within ${READY_LIMIT_MS} ms`);
      }
      await time.waitFor(READY_POLL_MS, signal);
    }
  }

  /** Signs the current sections as the next version and publishes the envelope on the platform. */
  async publishBundle(): Promise<void> {
    await this.platform.send('/bundle', this.deployment.sign());
  }

  /** Publishes the VM list with the states set by `setListState`; a VM without one is listed as `live`. */
  async publishList(): Promise<void> {
    const vms = [...this.vms.values()].flatMap(({ plan, listeners }) => {
      const state = this.#listStates.get(plan.name) ?? 'live';
      return state === 'absent' ? [] : [{ ...plan, peerAddress: listeners.peer, state }];
    });
    await this.platform.send('/vms', { vms, addresses: this.links.addresses });
  }

  /** Sets the state of a VM in the VM list and publishes the list. The processes of the VM are not affected. */
  async setListState(vm: string, state: ListState): Promise<void> {
    this.#listStates.set(vm, state);
    await this.publishList();
  }

  /** Lists the addresses of the caller listeners of all VMs, or only of the named ones. */
  listEntries(names?: readonly string[]): readonly string[] {
    return [...this.vms.values()]
      .filter((vm) => names === undefined || names.includes(vm.plan.name))
      .map((vm) => vm.listeners.caller);
  }

  /** Lists the processes that are currently running. */
  listProcesses(): readonly ManagedProcess[] {
    const all = [...this.vms.values()].flatMap((vm) => [vm.node, vm.backend]);
    return [this.#platform?.process, ...all].flatMap((each) =>
      each?.isRunning === true ? [each] : [],
    );
  }

  /** Sets the factor by which running backend servers of a service multiply their service times; 1 is normal. */
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
