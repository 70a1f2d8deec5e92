import type { FakeFleet } from './FakeFleet.js';
import type { RequestEnd } from './FakeNode.js';
import { ALBA_KEY } from './buildTestBundle.js';

/** One step of a randomized schedule. Numbers are reduced to what they select. */
export interface Step {
  readonly atMs: number;
  readonly kind: (typeof STEP_KINDS)[number];
  readonly choice: number;
  readonly lengthMs: number;
}

/** What a step may do; requests are listed more often than failures. */
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

/** A request of a session, as its caller knows it in the end. */
export interface CallerRecord {
  readonly id: string;
  readonly repeatable: boolean;
  readonly ends: RequestEnd[];
}

const VMS = ['front-1', 'front-2', 'deep-1', 'deep-2'] as const;

const RETRY_LIMIT = 4;

/** Time for which a session goes on after its last step, in milliseconds: longer than deadline and retries together. */
const SETTLE_MS = 25_000;

/** Nodes wait for the lease of shares before they use theirs. */
const START_MS = 2_000;

/** Fraction of the ticketed requests that are sent twice at once. */
const DOUBLE_SEND_FRACTION = 0.2;

/** Runs a schedule to its end. */
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

/** Sends with the ticket, and again through other nodes, also before the first answer is in, while it is unknown. */
function sendTicketed(fleet: FakeFleet, request: TicketedRequest): void {
  const { target, ticket, record, vm } = request;
  const headers = [...createHeaders(record.id), ['tanagerpond-ticket', ticket] as const];
  fleet.request(vm, target, 'POST', headers, (end) => {
    record.ends.push(end);
    const isUnknown = end.kind === 'lost' || (end.kind === 'refused' && end.outcome === 'unknown');
    if (isUnknown && record.ends.length < RETRY_LIMIT) {
      const next = VMS[Math.floor(fleet.random.next() * VMS.length)] as string;
      const delayMs = fleet.random.next() * 1_000;
      fleet.events.schedule(delayMs, () => sendTicketed(fleet, { ...request, vm: next }));
    }
  });
  if (record.ends.length === 0 && fleet.random.next() < DOUBLE_SEND_FRACTION) {
    const next = VMS[Math.floor(fleet.random.next() * VMS.length)] as string;
    fleet.request(next, target, 'POST', headers, (end) => record.ends.push(end));
  }
}

function createHeaders(id: string): (readonly [string, string])[] {
  return [
    ['authorization', `Bearer ${ALBA_KEY}`],
    ['x-request-id', id],
  ];
}
