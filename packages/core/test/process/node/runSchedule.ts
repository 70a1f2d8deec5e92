import type { FakeFleet } from './FakeFleet.js';
import type { RequestEnd } from './FakeNode.js';
import { ALBA_KEY } from './buildTestBundle.js';

/** One step of a randomized schedule. `choice` selects the VM modulo the number of VMs. */
export interface Step {
  readonly atMs: number;
  readonly kind: (typeof STEP_KINDS)[number];
  readonly choice: number;
  readonly lengthMs: number;
}

/** Kinds of steps. Some requests are listed several times, so that they are more frequent than faults. */
export const STEP_KINDS = [
  'book',
  'book',
  'book',
  'bookDeep',
  'bookDeep',
  'read',
  'readDeep',
  'slow',
  'replace',
  'freeze',
  'cut',
  'reset',
  'crashBackend',
] as const;

/** A request and all the answers and refusals that its caller got. */
export interface CallerRecord {
  readonly id: string;
  readonly repeatable: boolean;
  readonly ends: RequestEnd[];
}

const VMS = ['front-1', 'front-2', 'deep-1', 'deep-2'] as const;

const RETRY_LIMIT = 4;

/** Time for which a session runs after its start; long enough for all steps, deadlines and retries to end. */
const SETTLE_MS = 25_000;

/** Start of the schedule, after the startup wait in which nodes do not use their shares. */
const START_MS = 2_000;

/** Fraction of the ticketed requests that are sent twice at the same time. */
const DOUBLE_SEND_FRACTION = 0.2;

/** Runs a schedule until all its requests have ended. */
export function runSchedule(fleet: FakeFleet, steps: readonly Step[]): readonly CallerRecord[] {
  const records: CallerRecord[] = [];
  steps.forEach((step, index) =>
    fleet.events.schedule(START_MS + step.atMs, () => runStep(fleet, step, `q${index}`, records)),
  );
  fleet.events.runUntil(START_MS + SETTLE_MS);
  return records;
}

function runStep(fleet: FakeFleet, step: Step, id: string, records: CallerRecord[]): void {
  const vm = VMS[step.choice % VMS.length] as string;
  const other = VMS[(step.choice + 1 + (step.lengthMs % 3)) % VMS.length] as string;
  const handlers: Record<Step['kind'], () => void> = {
    book: () => book(fleet, `/front/book/${id}`, id, vm, records),
    bookDeep: () => book(fleet, `/front/child/${id}`, id, vm, records),
    read: () => read(fleet, `/front/read/${id}`, id, vm, records),
    readDeep: () => read(fleet, `/front/child/${id}`, id, vm, records),
    slow: () => read(fleet, `/front/slow/${id}`, id, vm, records),
    replace: () => fleet.replace(vm, step.lengthMs % 1_000),
    freeze: () => freeze(fleet, vm, step.lengthMs),
    cut: () => cut(fleet, vm, other, step.lengthMs),
    reset: () => fleet.links.reset(vm, other),
    crashBackend: () => fleet.find(vm).backend.crash(),
  };
  handlers[step.kind]();
}

function freeze(fleet: FakeFleet, vm: string, lengthMs: number): void {
  const node = fleet.find(vm);
  node.freeze();
  fleet.events.schedule(lengthMs, () => node.resume());
}

function cut(fleet: FakeFleet, left: string, right: string, lengthMs: number): void {
  if (left === right) {
    return;
  }
  fleet.links.cut(left, right);
  fleet.events.schedule(lengthMs, () => fleet.links.heal(left, right));
}

function read(
  fleet: FakeFleet,
  target: string,
  id: string,
  vm: string,
  records: CallerRecord[],
): void {
  const record: CallerRecord = { id, repeatable: true, ends: [] };
  records.push(record);
  fleet.request(vm, target, 'GET', createHeaders(id), (end) => record.ends.push(end));
}

function book(
  fleet: FakeFleet,
  target: string,
  id: string,
  vm: string,
  records: CallerRecord[],
): void {
  fleet.request(vm, target, 'POST', createHeaders(id), (end) => {
    if (end.kind === 'refused' && end.ticket !== undefined) {
      const record: CallerRecord = { id: `${id}-${records.length}`, repeatable: false, ends: [] };
      records.push(record);
      sendTicketed(fleet, { target, ticket: end.ticket, record, vm });
    }
  });
}

interface TicketedRequest {
  readonly target: string;
  readonly ticket: string;
  readonly record: CallerRecord;
  readonly vm: string;
}

/**
 * Sends a request with its ticket. While the outcome is unknown, it is sent again through other nodes; some requests
 * are sent twice at the same time.
 */
function sendTicketed(fleet: FakeFleet, request: TicketedRequest): void {
  const { target, ticket, record, vm } = request;
  const headers = [...createHeaders(record.id), ['tanagerpond-ticket', ticket] as const];
  fleet.request(vm, target, 'POST', headers, (end) => {
    record.ends.push(end);
    const isUnknown = end.kind === 'lost' || (end.kind === 'refused' && end.outcome === 'unknown');
    if (isUnknown && record.ends.length < RETRY_LIMIT) {
      const retryVm = VMS[Math.floor(fleet.random.next() * VMS.length)] as string;
      const delayMs = fleet.random.next() * 1_000;
      fleet.events.schedule(delayMs, () => sendTicketed(fleet, { ...request, vm: retryVm }));
    }
  });
  if (record.ends.length === 0 && fleet.random.next() < DOUBLE_SEND_FRACTION) {
    const otherVm = VMS[Math.floor(fleet.random.next() * VMS.length)] as string;
    fleet.request(otherVm, target, 'POST', headers, (end) => record.ends.push(end));
  }
}

function createHeaders(id: string): (readonly [string, string])[] {
  return [
    ['authorization', `Bearer ${ALBA_KEY}`],
    ['x-request-id', id],
  ];
}
