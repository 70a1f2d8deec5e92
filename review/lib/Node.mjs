/** A node of the project, started by the command of the deploy file on a loopback IP. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** Time for which a node may take to start, in milliseconds. */
const START_LIMIT_MS = 15_000;

/** Grace of the platform between SIGTERM and SIGKILL, in milliseconds. */
const GRACE_MS = 6_000;

/** Reads the command of the role from the deploy file. */
async function readCommand() {
  const text = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run] = /^run = "(.*)"$/m.exec(text) ?? [];
  if (run === undefined) {
    throw new Error('deploy/system.toml has no run line');
  }
  return run.split(' ');
}

/** Renders the template of the settings; only the admin port differs, since all nodes share one machine here. */
async function renderSettings({ ip, service, zone, ports, store, seeds }) {
  const text = await readFile(join(ROOT, 'platform/settings.ini'), 'utf8');
  const values = {
    ip,
    service,
    zone,
    'listen.outbound': `${ip}:${ports.caller}`,
    'listen.ready': `${ip}:${ports.ready}`,
    'inner_port_range.0': String(ports.peer),
    app_addr: `${ip}:${ports.instance}`,
    'platform.address': store,
    seed_nodes: seeds.join(','),
  };
  const rendered = text.replace(/\{\{([^}]+)\}\}/g, (_match, name) => values[name]);
  return rendered.replace(/^admin = .*$/m, `admin = ${ip}:${ports.admin}`);
}

/** Processes that run; none outlives this one, however it ends. */
const RUNNING = new Set();

process.once('exit', () => RUNNING.forEach((child) => child.kill('SIGKILL')));

/** One node process. */
export class Node {
  constructor(options) {
    Object.assign(this, options);
    this.starts = 0;
  }

  get callerAddress() {
    return { host: this.ip, port: this.ports.caller };
  }

  /** Starts the process and waits until it has printed that its listeners are open. */
  async start() {
    const [program, ...words] = await readCommand();
    this.starts += 1;
    const settings = join(this.folder, `${this.ip}.ini`);
    await writeFile(settings, await renderSettings(this));
    const log = createWriteStream(join(this.folder, `${this.ip}.${this.starts}.log`));
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, TANAGERPOND_SETTINGS: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    RUNNING.add(child);
    child.once('exit', () => RUNNING.delete(child));
    this.exit = undefined;
    this.lines = [];
    this.ended = once(child, 'exit').then(([code, signal]) => {
      this.exit = { code, signal };
      return this.exit;
    });
    let output = '';
    const opened = new Promise((resolve, reject) => {
      child.stdout.on('data', (bytes) => {
        log.write(bytes);
        output = `${output}${bytes}`.slice(-4096);
        if (output.includes('"ready":true')) {
          resolve();
        }
      });
      this.ended.then(() => reject(new Error(`node ${this.ip} ended: ${output}`)), reject);
    });
    child.stderr.on('data', (bytes) => {
      log.write(bytes);
      output += bytes;
    });
    opened.catch(() => undefined);
    await Promise.race([
      opened,
      sleep(START_LIMIT_MS, undefined, { ref: false }).then(() => {
        throw new Error(`node ${this.ip} did not start`);
      }),
    ]);
  }

  signal(name) {
    return this.exit === undefined && this.child.kill(name);
  }

  /** Ends the process with SIGKILL. */
  async kill() {
    if (this.child !== undefined && this.exit === undefined) {
      this.child.kill('SIGCONT');
      this.child.kill('SIGKILL');
      await this.ended;
    }
  }

  /** Stops the process as the platform does: SIGTERM, and SIGKILL after the grace. */
  async terminate() {
    this.signal('SIGTERM');
    const timer = setTimeout(() => this.signal('SIGKILL'), GRACE_MS);
    const exit = await this.ended;
    clearTimeout(timer);
    return exit;
  }
}
