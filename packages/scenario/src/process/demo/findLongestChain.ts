import type { Bundle, Route } from '@tanagerpond/bundle';

/** A chain of routes in which each route calls the next one, with the services of these routes. */
export interface Chain {
  readonly routes: readonly string[];
  readonly services: readonly string[];
}

/**
 * Finds the longest chain of calls; one of them if several have the same length.
 * @param bundle - Bundle of the example. Its calls must not form a cycle.
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
