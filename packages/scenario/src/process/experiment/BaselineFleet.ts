import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import { collector } from '@tanagerpond/testkit';
import {
  buildBackendOptions,
  ManagedProcess,
  SCRIPTS,
  sendControl,
  type BackendTuning,
  type Deployment,
  waitAll,
} from '../fleet/index.js';

interface StartedBackend {
  readonly service: string;
  readonly address: string;
  readonly control: string;
}

/** A fleet without overload control, for comparison: a plain forwarder replaces the node of each backend server. */
export class BaselineFleet {
  readonly runCollector = new collector.RunCollector();

  readonly #deployment: Deployment;

  readonly #tuning: BackendTuning;

  readonly #retries: number;

  readonly #processes: ManagedProcess[] = [];

  #backends: readonly StartedBackend[] = [];

  #entries: readonly string[] = [];

  #folder = '';

  /**
   * @param deployment - Deployment that defines the VMs, routes and slots.
   * @param tuning - Service times and seed.
   * @param retries - How often each forwarder retries a failed request.
   */
  constructor(deployment: Deployment, tuning: BackendTuning, retries: number) {
    this.#deployment = deployment;
    this.#tuning = tuning;
    this.#retries = retries;
  }

  /** Starts the backend servers and forwarders. What has started is stopped by disposal, even if another part fails. */
  async start(): Promise<void> {
    this.#folder = await fs.mkdtemp(path.join(os.tmpdir(), 'tanagerpond-baseline-'));
    const address = await this.runCollector.open();
    this.#backends = await waitAll(
      this.#deployment.vms.map(async (vm, index) => {
        const options = buildBackendOptions(this.#deployment, vm, {
          ...this.#tuning,
          collector: `http://${address}`,
          seed: this.#tuning.seed + index,
        });
        const ready = await this.#startProcess(`backend ${vm.name}`, SCRIPTS.backend, options);
        return {
          service: vm.service,
          address: String(ready.address),
          control: String(ready.control),
        };
      }),
    );
    await this.#startForwarders();
  }

  /** Lists the addresses of the forwarders, to which callers send their requests. */
  listEntries(): readonly string[] {
    return this.#entries;
  }

  /** Lists all processes that this fleet has started. */
  listProcesses(): readonly ManagedProcess[] {
    return this.#processes;
  }

  /** Sets the factor by which the service times of all backend servers of a service are multiplied; 1 is normal. */
  async setSlowdown(service: string, factor: number): Promise<void> {
    const affected = this.#backends.filter((backend) => backend.service === service);
    await Promise.all(
      affected.map((backend) => sendControl(backend.control, '/faults', { slowdown: factor })),
    );
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.#processes.map((process) => process[Symbol.asyncDispose]()));
    await this.runCollector[Symbol.asyncDispose]();
    if (this.#folder !== '') {
      await fs.rm(this.#folder, { recursive: true, force: true });
    }
  }

  async #startForwarders(): Promise<void> {
    const services = new Set(this.#backends.map((backend) => backend.service));
    const addresses = Object.fromEntries(
      [...services].map((service) => [
        service,
        this.#backends
          .filter((backend) => backend.service === service)
          .map((backend) => backend.address),
      ]),
    );
    this.#entries = await waitAll(
      this.#backends.map(async (backend, index) => {
        const name = `forwarder ${index}`;
        const options = { backends: addresses, seed: index + 1, retries: this.#retries };
        const ready = await this.#startProcess(name, SCRIPTS.forwarder, options);
        const entry = String(ready.address);
        await sendControl(backend.control, '/egress', { origin: `http://${entry}` });
        return entry;
      }),
    );
  }

  async #startProcess(
    name: string,
    script: string,
    options: object,
  ): Promise<Readonly<Record<string, unknown>>> {
    const file = path.join(this.#folder, `${name.replace(' ', '-')}.json`);
    await fs.writeFile(file, JSON.stringify(options));
    const process = new ManagedProcess(name, script, [file]);
    this.#processes.push(process);
    return process.waitReady();
  }
}
