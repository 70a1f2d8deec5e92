import { ManagedProcess } from './ManagedProcess.js';
import { SCRIPTS } from './scripts.js';
import { sendControl } from './sendControl.js';

/** The platform process and its control endpoint. */
export class Platform {
  readonly process: ManagedProcess;

  readonly #control: string;

  private constructor(process: ManagedProcess, control: string) {
    this.process = process;
    this.#control = control;
  }

  static async start(): Promise<Platform> {
    const process = new ManagedProcess('platform', SCRIPTS.platform, []);
    const { control } = await process.waitReady();
    return new Platform(process, String(control));
  }

  /** Opens a listener for one VM, which gets its own peer addresses there. */
  async openReader(vm: string): Promise<string> {
    const { address } = (await this.send('/reader', vm)) as { address: string };
    return address;
  }

  /** Sends a command to the control endpoint. */
  async send(path: string, body?: unknown): Promise<unknown> {
    return sendControl(this.#control, path, body);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.process[Symbol.asyncDispose]();
  }
}
