import * as membership from '../../src/process/membership/index.js';
import type { TestRate } from '../../test/process/shares/createBundle.js';
import { ReferenceBucket, WAIT_MS } from './ReferenceBucket.js';

/**
 * Baseline rate limiter: one home VM per workspace, chosen by rendezvous hashing, grants all its tokens. A home VM that
 * dies is replaced after the VM list shows it and its lease has expired; one behind a network partition is unreachable.
 */
export class HomeNodeLimiter {
  readonly #buckets = new Map<string, ReferenceBucket>();

  readonly #homes = new Map<string, { home: string; usableMs: number }>();

  readonly #vms: readonly string[];

  constructor(vms: readonly string[]) {
    this.#vms = vms;
  }

  /**
   * Replaces a VM as home of its workspaces.
   * @param dead - VM that died.
   * @param usableMs - Time from which the new home VMs grant tokens, in milliseconds.
   */
  replace(dead: string, usableMs: number): void {
    this.#homes.forEach((entry, name) => {
      if (entry.home === dead) {
        const live = this.#vms.filter((vm) => vm !== dead);
        this.#homes.set(name, { home: findHome(name, live), usableMs });
      }
    });
  }

  decide(
    vm: string,
    { name, rate, burst }: TestRate,
    nowMs: number,
    canReach: (from: string, to: string) => boolean,
  ): boolean {
    const entry = this.#homes.get(name) ?? { home: findHome(name, this.#vms), usableMs: 0 };
    this.#homes.set(name, entry);
    if (nowMs < entry.usableMs || !canReach(vm, entry.home)) {
      return false;
    }
    const key = `${entry.home}/${name}`;
    const bucket = this.#buckets.get(key) ?? new ReferenceBucket(rate, burst);
    this.#buckets.set(key, bucket);
    return bucket.tryConsume(nowMs, WAIT_MS);
  }
}

function findHome(name: string, vms: readonly string[]): string {
  return membership.listByRendezvous(name, vms)[0] ?? '';
}
