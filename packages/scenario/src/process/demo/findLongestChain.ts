import type { Bundle, Route } from '@tanagerpond/bundle';

/** Longest chain of calls in a bundle. */
export interface Chain {
  readonly routes: readonly string[];
  readonly services: readonly string[];
}

/**
 * Finds a longest chain of routes that call each other.
 * @param bundle - Bundle of the example; its calls have no cycles.
 */
export function findLongestChain(bundle: Bundle): Chain {
  const chains = [...bundle.routes.values()].map((route) => findLongestFrom(bundle, route));
  const [longest = []] = chains.sort((left, right) => right.length - left.length);
  return {
    routes: longest.map((route) => route.name),
    services: longest.map((route) => route.service),
  };
}

function findLongestFrom(bundle: Bundle, route: Route): readonly Route[] {
  const below = route.calls.flatMap((name) => {
    const called = bundle.routes.get(name);
    return called === undefined ? [] : [findLongestFrom(bundle, called)];
  });
  const [longest = []] = below.sort((left, right) => right.length - left.length);
  return [route, ...longest];
}
