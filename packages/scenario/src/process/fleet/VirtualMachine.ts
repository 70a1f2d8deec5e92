import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import type { backend } from '@tanagerpond/testkit';
import type { PlannedVm } from './Deployment.js';
import { FREE_LISTENERS, formatNodeSettings, type ListenerName } from './formatNodeSettings.js';
import { ManagedProcess } from './ManagedProcess.js';
import { SCRIPTS } from './scripts.js';
import { sendControl } from './sendControl.js';

/** What is needed to start the two processes of a VM. */
export interface VmSetup {
  /** Folder for settings and options files. */
  readonly folder: string;
  /** `IP:port` of the platform listener for this VM. */
  readonly platform: string;
  /** Public key that signs bundles, in base64url. */
  readonly publicKey: string;
  readonly backendOptions: backend.BackendOptions;
}

/** A simulated VM: a backend server and the node beside it, as two child processes. */
export class VirtualMachine {
  readonly plan: PlannedVm;

  readonly #setup: VmSetup;

  #node: ManagedProcess | undefined;

  #backend: ManagedProcess | undefined;

  #backendAddress = '';

  #backendControl = '';

  #listeners: Readonly<Record<ListenerName, string>> = FREE_LISTENERS;

  #isFrozen = false;

  constructor(plan: PlannedVm, setup: VmSetup) {
    this.plan = plan;
    this.#setup = setup;
  }

  get node(): ManagedProcess | undefined {
    return this.#node;
  }

  get backend(): ManagedProcess | undefined {
    return this.#backend;
  }

  /** Listener addresses of the node. They do not change when the node is restarted. */
  get listeners(): Readonly<Record<ListenerName, string>> {
    return this.#listeners;
  }

  get backendAddress(): string {
    return this.#backendAddress;
  }

  /** Whether the node process runs and is not frozen. */
  get isServing(): boolean {
    return this.#node?.isRunning === true && !this.#isFrozen;
  }

  /** Starts or restarts the backend server. A restart uses the same address. */
  async startBackend(): Promise<void> {
    const port = Number(this.#backendAddress.split(':')[1] ?? 0);
    const file = path.join(this.#setup.folder, `${this.plan.name}.json`);
    await fs.writeFile(file, JSON.stringify({ ...this.#setup.backendOptions, port }));
    this.#backend = new ManagedProcess(`backend ${this.plan.name}`, SCRIPTS.backend, [file]);
    const { address, control } = await this.#backend.waitReady();
    this.#backendAddress = String(address);
    this.#backendControl = String(control);
    if (this.#listeners !== FREE_LISTENERS) {
      await this.connectBackend();
    }
  }

  /** Starts or restarts the node. A restart uses the same addresses. */
  async startNode(): Promise<void> {
    const file = path.join(this.#setup.folder, `${this.plan.name}.ini`);
    const settings = formatNodeSettings({
      ...this.plan,
      vm: this.plan.name,
      platform: this.#setup.platform,
      publicKey: this.#setup.publicKey,
      backend: this.#backendAddress,
      logLevel: 'warn',
      listeners: this.#listeners,
    });
    await fs.writeFile(file, settings);
    this.#isFrozen = false;
    this.#node = new ManagedProcess(`node ${this.plan.name}`, SCRIPTS.node, ['--settings', file]);
    this.#listeners = readListeners((await this.#node.waitReady()).addresses);
    await this.connectBackend();
  }

  /** Tells the backend server the egress address of its node, to which it sends its outgoing calls. */
  async connectBackend(): Promise<void> {
    await this.sendBackend('/egress', { origin: `http://${this.#listeners.egress}` });
  }

  /** Sends a command to the control endpoint of the backend server. */
  async sendBackend(command: string, body?: unknown): Promise<unknown> {
    return sendControl(this.#backendControl, command, body);
  }

  /** Reads the state dump of the node. Returns undefined if the node does not answer. */
  async readState(): Promise<Readonly<Record<string, unknown>> | undefined> {
    try {
      return (await sendControl(this.#listeners.admin, '/state')) as Record<string, unknown>;
    } catch {
      return undefined;
    }
  }

  /** Freezes or resumes the node process by SIGSTOP or SIGCONT. */
  setNodeFrozen(isFrozen: boolean): void {
    this.#isFrozen = isFrozen;
    this.#node?.send(isFrozen ? 'SIGSTOP' : 'SIGCONT');
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([
      this.#node?.[Symbol.asyncDispose](),
      this.#backend?.[Symbol.asyncDispose](),
    ]);
  }
}

function readListeners(value: unknown): Record<ListenerName, string> {
  const ready = value as Readonly<Record<string, unknown>>;
  const read = (name: ListenerName) => String(ready[name]);
  return {
    caller: read('caller'),
    egress: read('egress'),
    peer: read('peer'),
    admin: read('admin'),
  };
}
