import type { Bundle } from '@tanagerpond/bundle';
import type { VmRecord } from '../../../src/process/membership/index.js';
import type { AnswerFraming, NodeCommand, NodeMessage } from '../../../src/process/node/index.js';
import type { RunRecord } from './FakeBackend.js';
import { EventQueue } from './EventQueue.js';
import { FakeLinks } from './FakeLinks.js';
import { FakeNode, type RequestEnd } from './FakeNode.js';
import { SeededRandom } from './SeededRandom.js';

/** VMs of a session, by service. */
export const SESSION_VMS = [
  { name: 'front-1', service: 'front', failureDomain: 'east' },
  { name: 'front-2', service: 'front', failureDomain: 'west' },
  { name: 'deep-1', service: 'deep', failureDomain: 'east' },
  { name: 'deep-2', service: 'deep', failureDomain: 'west' },
] as const;

/** Node state machines that are connected by simulated links and share one simulated clock. */
export class FakeFleet {
  readonly events = new EventQueue();

  readonly runs: RunRecord[] = [];

  readonly random: SeededRandom;

  readonly links: FakeLinks;

  readonly #nodes = new Map<string, FakeNode>();

  readonly #replacedNodes: FakeNode[] = [];

  readonly #bundle: Bundle;

  #incarnations = 0;

  #framing: AnswerFraming = 'length';

  constructor(
    seed: number,
    bundle: Bundle,
    readonly observe?: (
      nowMs: number,
      vm: string,
      message: NodeMessage,
      commands: readonly NodeCommand[],
    ) => void,
  ) {
    this.random = new SeededRandom(seed);
    this.#bundle = bundle;
    this.links = new FakeLinks(this.events, (vm) => this.#nodes.get(vm));
    SESSION_VMS.forEach(({ name }) => this.start(name));
  }

  /** Starts the process of a VM, with a new incarnation. */
  start(name: string): void {
    const vm = SESSION_VMS.find((candidate) => candidate.name === name);
    if (vm === undefined) {
      return;
    }
    this.#incarnations += 1;
    const node = new FakeNode({
      identity: { ...vm, incarnation: `i${this.#incarnations}` },
      events: this.events,
      links: this.links,
      random: this.random,
      runs: this.runs,
      ...(this.observe === undefined ? {} : { observe: this.observe }),
    });
    node.backend.framing = this.#framing;
    this.#nodes.set(name, node);
    node.receive({ kind: 'vmsListed', vms: listVms() });
    node.receive({ kind: 'bundleAdopted', bundle: this.#bundle });
  }

  /** Ends the process of a VM and starts another after a delay in milliseconds. */
  replace(name: string, delayMs: number): void {
    const node = this.find(name);
    node.kill();
    this.#replacedNodes.push(node);
    this.events.schedule(delayMs, () => this.start(name));
  }

  /** Sets how the end of answers is determined, for all backend servers and for those that start later. */
  setFraming(framing: AnswerFraming): void {
    this.#framing = framing;
    this.#nodes.forEach(({ backend }) => Object.assign(backend, { framing }));
  }

  /** Finds the latest process of a VM. */
  find(name: string): FakeNode {
    return this.#nodes.get(name) as FakeNode;
  }

  /** Lists all processes of the session, including replaced ones. */
  listNodes(): readonly FakeNode[] {
    return [...this.#nodes.values(), ...this.#replacedNodes];
  }

  /** Sends a request of a caller to the node of a VM. */
  request(
    vm: string,
    target: string,
    method: string,
    headers: readonly (readonly [string, string])[],
    end: (end: RequestEnd) => void,
  ): void {
    this.find(vm).request(target, method, headers, undefined, end);
  }
}

function listVms(): readonly VmRecord[] {
  return SESSION_VMS.map((vm) => ({ ...vm, peerAddress: `127.0.0.1:0`, state: 'live' }));
}
