import type { BundleProblem } from '../BundleError.js';
import type { Route } from '../routeSchema.js';
import type { ParsedSection } from './parseSections.js';

/** What is known of a route once all routes that it calls are known. */
interface Reach {
  /** Calls on the longest chain from this route, itself included. */
  readonly depth: number;
  /** First non-repeatable route that is reached by calls, if any. */
  readonly nonRepeatable: string | undefined;
}

/**
 * Checks the call graph: only known routes, no cycle, no chain deeper than `max-depth`, and no repeatable route that
 * reaches a non-repeatable one, because a retry of the parent would run the child twice.
 * @param routes - Sections of `routes.ini`.
 * @param maxDepth - Deepest call chain.
 */
export function checkCalls(
  routes: readonly ParsedSection<Route>[],
  maxDepth: number,
): readonly BundleProblem[] {
  const byName = new Map(routes.map((route) => [route.value.name, route]));
  const unknown = routes.flatMap((route) =>
    route.value.calls
      .filter((name) => !byName.has(name))
      .map((name) => describeFault(route, `known routes; there is no route ${name}`)),
  );
  if (unknown.length > 0) {
    return unknown;
  }
  const reaches = computeReaches(routes, byName);
  return routes.flatMap((route) => checkRoute(route, reaches.get(route.value.name), maxDepth));
}

function checkRoute(
  route: ParsedSection<Route>,
  reach: Reach | undefined,
  maxDepth: number,
): readonly BundleProblem[] {
  if (reach === undefined) {
    return [describeFault(route, 'calls without a cycle, which would have no end')];
  }
  const problems: BundleProblem[] = [];
  if (reach.depth > maxDepth) {
    const expected = `chains of at most max-depth = ${maxDepth} calls; the longest has ${reach.depth}`;
    problems.push(describeFault(route, expected));
  }
  if (route.value.repeatable && reach.nonRepeatable !== undefined) {
    const expected = `only repeatable routes below a repeatable one; ${reach.nonRepeatable} is reached`;
    problems.push(describeFault(route, expected));
  }
  return problems;
}

/** Works from the leaves upwards without recursion; routes on or above a cycle get no result. */
function computeReaches(
  routes: readonly ParsedSection<Route>[],
  byName: ReadonlyMap<string, ParsedSection<Route>>,
): ReadonlyMap<string, Reach> {
  const open = new Map(routes.map(({ value }) => [value.name, new Set(value.calls).size]));
  const callers = new Map<string, string[]>();
  routes.forEach(({ value }) =>
    new Set(value.calls).forEach((name) => {
      const known = callers.get(name) ?? [];
      known.push(value.name);
      callers.set(name, known);
    }),
  );
  const reaches = new Map<string, Reach>();
  const ready = routes
    .filter(({ value }) => value.calls.length === 0)
    .map(({ value }) => value.name);
  for (let next = ready.pop(); next !== undefined; next = ready.pop()) {
    reaches.set(next, computeReach(byName.get(next)?.value.calls ?? [], byName, reaches));
    (callers.get(next) ?? []).forEach((caller) => {
      const left = (open.get(caller) ?? 0) - 1;
      open.set(caller, left);
      if (left === 0) {
        ready.push(caller);
      }
    });
  }
  return reaches;
}

function computeReach(
  calls: readonly string[],
  byName: ReadonlyMap<string, ParsedSection<Route>>,
  reaches: ReadonlyMap<string, Reach>,
): Reach {
  const depths = calls.map((name) => reaches.get(name)?.depth ?? 0);
  const nonRepeatable = calls
    .map((name) => (byName.get(name)?.value.repeatable ? reaches.get(name)?.nonRepeatable : name))
    .find((name) => name !== undefined);
  return { depth: 1 + Math.max(0, ...depths), nonRepeatable };
}

function describeFault(route: ParsedSection<Route>, expected: string): BundleProblem {
  return { file: 'routes.ini', section: route.header, key: 'calls', line: route.line, expected };
}
