import type { BundleProblem } from '../BundleError.js';
import type { Route } from '../routeSchema.js';
import type { ParsedSection } from './parseSections.js';

/** Summary of the tree of calls that a route can cause, computed from those of the routes that it calls. */
interface CallTree {
  /** Number of calls in the longest chain from this route, itself included. */
  readonly depth: number;
  /** Name of a non-repeatable route below this one, if there is any. */
  readonly nonRepeatable: string | undefined;
}

/**
 * Validates the call graph of the routes: calls name existing routes, there is no cycle, no chain is deeper than
 * `max-depth`, and no repeatable route calls a non-repeatable one, directly or indirectly, because a retry of the
 * parent would run the child twice.
 * @param routes - Sections of `routes.ini`.
 * @param maxDepth - Maximum depth of a call chain.
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
  const callTrees = computeCallTrees(routes, byName);
  return routes.flatMap((route) => checkRoute(route, callTrees.get(route.value.name), maxDepth));
}

function checkRoute(
  route: ParsedSection<Route>,
  callTree: CallTree | undefined,
  maxDepth: number,
): readonly BundleProblem[] {
  if (callTree === undefined) {
    return [describeFault(route, 'calls that do not lead into a cycle')];
  }
  const problems: BundleProblem[] = [];
  if (callTree.depth > maxDepth) {
    const expected = `chains of at most max-depth = ${maxDepth} calls; the longest has ${callTree.depth}`;
    problems.push(describeFault(route, expected));
  }
  if (route.value.repeatable && callTree.nonRepeatable !== undefined) {
    const expected = `only repeatable routes below a repeatable one; ${callTree.nonRepeatable} is reached`;
    problems.push(describeFault(route, expected));
  }
  return problems;
}

/**
 * Computes the call trees in topological order, from the routes without calls upwards and without recursion. Routes on
 * a cycle, and routes that lead to one, are missing from the result.
 */
function computeCallTrees(
  routes: readonly ParsedSection<Route>[],
  byName: ReadonlyMap<string, ParsedSection<Route>>,
): ReadonlyMap<string, CallTree> {
  const pendingCalls = new Map(routes.map(({ value }) => [value.name, new Set(value.calls).size]));
  const callers = new Map<string, string[]>();
  routes.forEach(({ value }) =>
    new Set(value.calls).forEach((name) => {
      const known = callers.get(name) ?? [];
      known.push(value.name);
      callers.set(name, known);
    }),
  );
  const callTrees = new Map<string, CallTree>();
  const ready = routes
    .filter(({ value }) => value.calls.length === 0)
    .map(({ value }) => value.name);
  for (let next = ready.pop(); next !== undefined; next = ready.pop()) {
    callTrees.set(next, computeCallTree(byName.get(next)?.value.calls ?? [], byName, callTrees));
    (callers.get(next) ?? []).forEach((caller) => {
      const left = (pendingCalls.get(caller) ?? 0) - 1;
      pendingCalls.set(caller, left);
      if (left === 0) {
        ready.push(caller);
      }
    });
  }
  return callTrees;
}

function computeCallTree(
  calls: readonly string[],
  byName: ReadonlyMap<string, ParsedSection<Route>>,
  callTrees: ReadonlyMap<string, CallTree>,
): CallTree {
  const depths = calls.map((name) => callTrees.get(name)?.depth ?? 0);
  const nonRepeatable = calls
    .map((name) => (byName.get(name)?.value.repeatable ? callTrees.get(name)?.nonRepeatable : name))
    .find((name) => name !== undefined);
  return { depth: 1 + Math.max(0, ...depths), nonRepeatable };
}

function describeFault(route: ParsedSection<Route>, expected: string): BundleProblem {
  return { file: 'routes.ini', section: route.header, key: 'calls', line: route.line, expected };
}
