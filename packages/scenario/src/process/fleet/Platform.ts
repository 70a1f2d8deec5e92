import { ManagedProcess } from './ManagedProcess.js';
import { SCRIPTS } from './scripts.js';
import { sendControl } from './sendControl.js';

/** The simulated platform, as a child process with a control endpoint. */
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

  /** Opens a listener from which one VM reads, so that its VM list can have peer addresses of its own. */
  async openReader(vm: string): Promise<string> {
    const { address } = (await this.send('/reader', vm)) as { address: string };
    return address;
  }

  /** Sends a command to the control endpoint and returns its answer. */
  async send(path: string, body?: unknown): Promise<unknown> {
    return sendControl(this.#control, path, body);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.process[Symbol.asyncDispose]();
  }
}
