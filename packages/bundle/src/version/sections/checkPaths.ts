import type { BundleProblem } from '../BundleError.js';
import type { Route } from '../routeSchema.js';
import type { ParsedSection } from './parseSections.js';

/**
 * Maximum number of routes of a service that have the same method and number of segments. It bounds the cost of their
 * pairwise comparison; in practice a service has at most a few dozen routes.
 */
const MAX_COMPARED_ROUTES = 500;
const MAX_SEGMENTS = 32;
const SEGMENT_PATTERN = /^(?::[a-z][A-Za-z0-9-]*|[A-Za-z0-9._~-]+)$/;

/**
 * Validates that each path is well-formed and that no request path matches two routes.
 * @param routes - Sections of `routes.ini`.
 */
export function checkPaths(routes: readonly ParsedSection<Route>[]): readonly BundleProblem[] {
  const malformed = routes.filter(({ value }) => !isPath(value.path));
  if (malformed.length > 0) {
    const expected =
      'a path of plain segments and :name segments without . or .., such as /seats/:id/hold';
    return malformed.map((route) => describeFault(route, expected));
  }
  const groups = new Map<string, ParsedSection<Route>[]>();
  routes.forEach((route) => {
    const { service, method, path } = route.value;
    const group = `${service} ${method} ${splitPath(path).length}`;
    groups.set(group, [...(groups.get(group) ?? []), route]);
  });
  return [...groups.values()].flatMap(compareRoutes);
}

/**
 * Splits a path into its segments; `/` has no segments.
 * @param path - Path that begins with a slash.
 */
export function splitPath(path: string): readonly string[] {
  return path === '/' ? [] : path.slice(1).split('/');
}

function isPath(path: string): boolean {
  const segments = splitPath(path);
  return (
    segments.length <= MAX_SEGMENTS &&
    segments.every(
      (segment) => SEGMENT_PATTERN.test(segment) && segment !== '.' && segment !== '..',
    )
  );
}

function compareRoutes(group: readonly ParsedSection<Route>[]): readonly BundleProblem[] {
  const [first] = group;
  if (first !== undefined && group.length > MAX_COMPARED_ROUTES) {
    const expected = `at most ${MAX_COMPARED_ROUTES} routes of one method and length in a service`;
    return [describeFault(first, expected)];
  }
  const split = group.map((route) => ({ route, segments: splitPath(route.value.path) }));
  return split.flatMap(({ route, segments }, index) => {
    const other = split
      .slice(0, index)
      .find((earlier) => isOverlapping(earlier.segments, segments));
    if (other === undefined) {
      return [];
    }
    const expected = `a path that route ${other.route.value.name} cannot match as well`;
    return [describeFault(route, expected)];
  });
}

function isOverlapping(left: readonly string[], right: readonly string[]): boolean {
  return left.every((segment, index) => {
    const other = right[index] ?? '';
    return segment.startsWith(':') || other.startsWith(':') || segment === other;
  });
}

function describeFault(route: ParsedSection<Route>, expected: string): BundleProblem {
  return { file: 'routes.ini', section: route.header, key: 'path', line: route.line, expected };
}
