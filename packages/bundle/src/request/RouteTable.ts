import type { Route } from '../version/routeSchema.js';

interface PathNode {
  readonly literals: Map<string, PathNode>;
  parameter: PathNode | undefined;
  route: Route | undefined;
}

/** Routes by service and method, as one tree of path segments each. */
export class RouteTable {
  readonly #roots = new Map<string, PathNode>();

  /** @param routes - Routes of one bundle; no path matches two of them. */
  constructor(routes: Iterable<Route>) {
    [...routes].forEach((route) => this.#add(route));
  }

  /**
   * Finds the route of a path.
   * @param service - Name of the service.
   * @param method - HTTP method in upper case.
   * @param segments - Decoded segments below the service segment.
   */
  find(service: string, method: string, segments: readonly string[]): Route | undefined {
    const root = this.#roots.get(`${service} ${method}`);
    return root === undefined ? undefined : findBelow(root, segments, 0);
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

/** Tries the literal before the parameter; both may lead on, as in `/a/:x/b` beside `/a/c/d`. */
function findBelow(node: PathNode, segments: readonly string[], index: number): Route | undefined {
  const segment = segments[index];
  if (segment === undefined) {
    return node.route;
  }
  const literal = node.literals.get(segment);
  const found = literal === undefined ? undefined : findBelow(literal, segments, index + 1);
  if (found !== undefined || node.parameter === undefined || segment === '') {
    return found;
  }
  return findBelow(node.parameter, segments, index + 1);
}
