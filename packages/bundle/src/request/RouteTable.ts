import type { Route } from '../version/routeSchema.js';

/** Node of a path tree: its literal child segments, its `:name` child, and the route that ends here. */
interface PathNode {
  readonly literals: Map<string, PathNode>;
  parameter: PathNode | undefined;
  route: Route | undefined;
}

/** Routing table with one tree of path segments for each service and method. */
export class RouteTable {
  readonly #roots = new Map<string, PathNode>();

  /** @param routes - Routes of one bundle. `checkPaths` has made sure that no path matches two of them. */
  constructor(routes: Iterable<Route>) {
    [...routes].forEach((route) => this.#add(route));
  }

  /**
   * Finds the route of a path.
   * @param service - Name of the service.
   * @param method - HTTP method in upper case.
   * @param segments - Decoded path segments after the service segment.
   * @returns Undefined when no route matches.
   */
  find(service: string, method: string, segments: readonly string[]): Route | undefined {
    const root = this.#roots.get(`${service} ${method}`);
    return root === undefined ? undefined : findInSubtree(root, segments, 0);
  }

  #add(route: Route): void {
    const key = `${route.service} ${route.method}`;
    let node = this.#roots.get(key) ?? createNode();
    this.#roots.set(key, node);
    const segments = route.path === '/' ? [] : route.path.slice(1).split('/');
    segments.forEach((segment) => {
      node = resolveChild(node, segment);
    });
    node.route = route;
  }
}

function createNode(): PathNode {
  return { literals: new Map(), parameter: undefined, route: undefined };
}

function resolveChild(node: PathNode, segment: string): PathNode {
  if (segment.startsWith(':')) {
    const parameter = node.parameter ?? createNode();
    Object.assign(node, { parameter });
    return parameter;
  }
  const child = node.literals.get(segment) ?? createNode();
  node.literals.set(segment, child);
  return child;
}

/**
 * Tries the literal child first and backtracks to the parameter child, because with routes such as `/a/:x/b` and
 * `/a/c/d` the literal child may match a segment and fail further down.
 */
function findInSubtree(
  node: PathNode,
  segments: readonly string[],
  index: number,
): Route | undefined {
  const segment = segments[index];
  if (segment === undefined) {
    return node.route;
  }
  const literal = node.literals.get(segment);
  const found = literal === undefined ? undefined : findInSubtree(literal, segments, index + 1);
  if (found !== undefined || node.parameter === undefined || segment === '') {
    return found;
  }
  return findInSubtree(node.parameter, segments, index + 1);
}
