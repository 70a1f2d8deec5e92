import type { FakeFleet } from './FakeFleet.js';
import type { CallerRecord } from './runSchedule.js';

/** Number of extra attempts that the test bundle allows for one call tree. */
const EXTRA_ATTEMPTS = 2;

/**
 * Compares the answers and refusals that callers got with the runs on the backend servers, and describes violations.
 */
export function findViolations(fleet: FakeFleet, records: readonly CallerRecord[]): string[] {
  const runs = new Map<string, number>();
  fleet.runs.forEach(({ requestId }) => runs.set(requestId, (runs.get(requestId) ?? 0) + 1));
  return [
    ...records.flatMap((record) => findRecordViolations(record, runs.get(record.id) ?? 0)),
    ...findDoubleChildren(records, runs),
    ...findExcessAttempts(fleet),
    ...fleet.listNodes().flatMap((node) => node.faults),
  ];
}

function findRecordViolations(record: CallerRecord, runs: number): string[] {
  const violations: string[] = [];
  if (!record.repeatable && runs > 1) {
    violations.push(`${record.id} ran ${runs} times`);
  }
  if (runs > 0 && record.ends.some((end) => end.kind === 'refused' && end.outcome === 'notRun')) {
    violations.push(`${record.id} ran, but a refusal said that it did not`);
  }
  const wrong = record.ends.find(
    (end) => end.kind === 'answered' && !isOwnAnswer(end.body, record.id),
  );
  if (wrong !== undefined) {
    violations.push(`${record.id} got the answer ${JSON.stringify(wrong)}`);
  }
  return violations;
}

function isOwnAnswer(body: string, id: string): boolean {
  return body === `answer to ${id}` || body === 'child failed';
}

function findDoubleChildren(
  records: readonly CallerRecord[],
  runs: ReadonlyMap<string, number>,
): string[] {
  return records
    .filter((record) => !record.repeatable && (runs.get(`${record.id}/child`) ?? 0) > 1)
    .map((record) => `${record.id}/child ran ${runs.get(`${record.id}/child`)} times`);
}

/** A repeated attempt of a parent repeats its calls, so the limit applies to each call, not to their sum. */
function findExcessAttempts(fleet: FakeFleet): string[] {
  const counts = new Map<string, number>();
  fleet.runs.forEach(({ rootId, requestId }) => {
    const call = `${requestId} of ${rootId}`;
    counts.set(call, (counts.get(call) ?? 0) + 1);
  });
  return [...counts]
    .filter(([, count]) => count > 1 + EXTRA_ATTEMPTS)
    .map(([call, count]) => `${call} ran ${count} times`);
}
