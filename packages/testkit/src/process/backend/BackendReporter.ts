import type * as http from 'node:http';
import * as bundle from '@tanagerpond/bundle';
import * as undici from 'undici';
import type { BackendOptions, BackendRoute } from './backendOptions.js';

interface RunReport {
  readonly request: http.IncomingMessage;
  readonly route: BackendRoute;
  readonly body: Buffer;
  readonly requestId: string;
  readonly attemptId: string;
}

/** Reports runs and refused calls to the run collector, whose process survives a crash of this one. */
export class BackendReporter {
  readonly #options: BackendOptions;

  readonly #pool: undici.Pool;

  constructor(options: BackendOptions) {
    this.#options = options;
    this.#pool = new undici.Pool(options.collector);
  }

  /** Reports a run. Resolves once the collector has received it, so that a later crash cannot lose it. */
  async recordRun(report: RunReport): Promise<void> {
    await this.#send('/run', {
      requestId: report.requestId,
      attemptId: report.attemptId,
      route: report.route.name,
      repeatable: report.route.repeatable,
      workspace: String(report.request.headers['tanagerpond-workspace'] ?? ''),
      vm: this.#options.vm,
      keySeen: hasKey(report.request, report.body),
    });
  }

  /** Reports that an outgoing call of this backend server was answered as not run. */
  async recordRefusal(attemptId: string): Promise<void> {
    await this.#send('/refused', { attemptId });
  }

  async #send(path: string, value: object): Promise<void> {
    const body = JSON.stringify(value);
    const answer = await this.#pool.request({ path, method: 'POST', body });
    await answer.body.dump();
  }
}

function hasKey(request: http.IncomingMessage, body: Buffer): boolean {
  const text = `${request.url}\n${request.rawHeaders.join('\n')}\n${body.toString('latin1')}`;
  return bundle.KEY_PATTERN.test(text) || bundle.KEY_PATTERN.test(decodeUrl(request.url ?? ''));
}

function decodeUrl(url: string): string {
  try {
    return decodeURIComponent(url);
  } catch {
    return url;
  }
}
