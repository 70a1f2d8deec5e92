import type { BackendRoute } from './backendOptions.js';

/**
 * Finds the route of a request. Backend servers get paths without the service segment.
 * @param routes - Routes of the backend server.
 * @param method - HTTP method.
 * @param target - Path and query of the request.
 * @returns The route, or undefined if none matches.
 */
export function matchBackendRoute(
  routes: readonly BackendRoute[],
  method: string,
  target: string,
): BackendRoute | undefined {
  const segments = (target.split('?')[0] ?? '').split('/');
  return routes.find(
    (route) => route.method === method && isMatch(route.path.split('/'), segments),
  );
}

function isMatch(pattern: readonly string[], segments: readonly string[]): boolean {
  return (
    pattern.length === segments.length &&
    pattern.every((part, index) => part.startsWith(':') || part === segments[index])
  );
}
