import { Membership, type VmRecord } from '../../src/process/membership/index.js';
import { measureCpu, measureHeap } from './measureCpu.js';

const REPEATS = 5;
const INSTANCES_PER_SERVICE = 7;
const FAILURE_DOMAINS = 23;

/**
 * Measures the cost of the VM list by its length: one replacement, the candidates of 10 services, heap and JSON bytes.
 */
export function measureMembership(): readonly object[] {
  return [1_000, 6_000, 18_000].map((count) => {
    const vms = createList(count);
    const heap = measureHeap(() => fill(createList(count)));
    const members = heap.value;
    const replaceMs = measureCpu(() => repeat(() => members.replaceList(vms, 1))) / REPEATS;
    const chooseMs = measureCpu(() => repeat(() => chooseAgain(members, vms))) / REPEATS;
    return {
      vms: count,
      jsonBytes: JSON.stringify(vms).length,
      heapKiB: Math.round(heap.bytes / 1024),
      replaceMs: round(replaceMs),
      candidatesOf10ServicesMs: round(chooseMs - replaceMs),
    };
  });
}

function fill(vms: readonly VmRecord[]): Membership {
  const identity = {
    name: 'vm-0',
    service: 'service-0',
    failureDomain: 'domain-0',
    incarnation: 'i',
  };
  const members = new Membership(identity);
  members.replaceList(vms, 0);
  return members;
}

function chooseAgain(members: Membership, vms: readonly VmRecord[]): void {
  members.replaceList(vms, 1);
  for (let service = 0; service < 10; service++) {
    members.findCandidates(`service-${service}`);
  }
}

function createList(count: number): VmRecord[] {
  return Array.from({ length: count }, (_, index) => ({
    name: `vm-${index}`,
    service: `service-${Math.floor(index / INSTANCES_PER_SERVICE)}`,
    failureDomain: `domain-${index % FAILURE_DOMAINS}`,
    peerAddress: `10.0.${Math.floor(index / 256)}.${index % 256}:7400`,
    state: 'live',
  }));
}

function repeat(run: () => void): void {
  for (let count = 0; count < REPEATS; count++) {
    run();
  }
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
