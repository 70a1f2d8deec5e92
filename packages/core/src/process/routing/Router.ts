import type { Membership, VmIdentity, VmRecord } from '../membership/index.js';
import type { RandomSource } from '../time/index.js';
import type { RoutingOutcome } from './RoutingOutcome.js';

/** A VM whose link is down becomes a candidate again after this time, so that the link is tried. */
const LINK_DOWN_MS = 1000;

/** Weight of a new sample in the observed latency. */
const SAMPLE_WEIGHT = 0.2;

interface VmState {
  inFlight: number;
  latencyMs: number;
  linkDownMs: number | undefined;
  usedMs: number;
}

/** Chooses the VM for a call: the better of two random candidates, the own failure domain first. */
export class Router {
  readonly #self: VmIdentity;

  readonly #membership: Membership;

  readonly #random: RandomSource;

  readonly #states = new Map<string, VmState>();

  /** @param options - Own VM, what is known of the fleet, and the source of choices. */
  constructor(options: { self: VmIdentity; membership: Membership; random: RandomSource }) {
    this.#self = options.self;
    this.#membership = options.membership;
    this.#random = options.random;
  }

  /**
   * Chooses a VM of a service.
   * @param service - Name of the service.
   * @param excluded - Names of VMs that must not be chosen, such as the VM of the last attempt.
   * @param nowMs - Monotonic time, in milliseconds.
   * @returns The VM, or undefined if there is no usable candidate.
   */
  choose(service: string, excluded: ReadonlySet<string>, nowMs: number): VmRecord | undefined {
    const usable = this.#membership
      .findCandidates(service)
      .filter((vm) => !excluded.has(vm.name) && this.#isLinkUsable(vm.name, nowMs));
    const local = usable.filter((vm) => vm.failureDomain === this.#self.failureDomain);
    return this.#pickBetter(local.length > 0 ? local : usable);
  }

  /**
   * Records that a call was sent to a VM.
   * @param vm - Name of the VM.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordSent(vm: string, nowMs: number): void {
    const state = this.#resolveState(vm);
    state.inFlight += 1;
    state.usedMs = nowMs;
  }

  /**
   * Records how a call at a VM ended; once for each `recordSent`.
   * @param vm - Name of the VM.
   * @param outcome - How the call ended.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordOutcome(vm: string, outcome: RoutingOutcome, nowMs: number): void {
    const state = this.#resolveState(vm);
    state.inFlight = Math.max(0, state.inFlight - 1);
    state.usedMs = nowMs;
    if (outcome.kind === 'answered' && outcome.latencyMs !== undefined) {
      state.latencyMs += SAMPLE_WEIGHT * (outcome.latencyMs - state.latencyMs);
    }
  }

  /**
   * Records that a link went up or down.
   * @param vm - Name of the peer.
   * @param up - Whether frames can be sent.
   * @param nowMs - Monotonic time, in milliseconds.
   */
  recordLink(vm: string, up: boolean, nowMs: number): void {
    this.#resolveState(vm).linkDownMs = up ? undefined : nowMs;
  }

  /** Shows the VMs for the state dump. */
  snapshot(nowMs: number): object {
    return {
      vms: [...this.#states].slice(0, 64).map(([vm, state]) => ({
        vm,
        inFlight: state.inFlight,
        latencyMs: state.latencyMs,
        idleMs: nowMs - state.usedMs,
        linkDownForMs: state.linkDownMs === undefined ? null : nowMs - state.linkDownMs,
      })),
    };
  }

  #isLinkUsable(vm: string, nowMs: number): boolean {
    const downMs = this.#states.get(vm)?.linkDownMs;
    return downMs === undefined || nowMs - downMs >= LINK_DOWN_MS;
  }

  #pickBetter(vms: readonly VmRecord[]): VmRecord | undefined {
    const first = vms[Math.floor(this.#random.next() * vms.length)];
    const second = vms[Math.floor(this.#random.next() * vms.length)];
    if (first === undefined || second === undefined) {
      return undefined;
    }
    return this.#computeScore(first) <= this.#computeScore(second) ? first : second;
  }

  #computeScore(vm: VmRecord): number {
    const state = this.#resolveState(vm.name);
    return (state.inFlight + 1) * (state.latencyMs + 1);
  }

  #resolveState(vm: string): VmState {
    const known = this.#states.get(vm);
    if (known !== undefined) {
      return known;
    }
    const state: VmState = { inFlight: 0, latencyMs: 0, linkDownMs: undefined, usedMs: 0 };
    this.#states.set(vm, state);
    return state;
  }
}
