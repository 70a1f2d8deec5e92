import { LOWEST_PRIORITY_CLASS, type Bundle, type Route } from '@tanagerpond/bundle';

/**
 * Computes the priority class of a caller's request. A workspace with a priority of its own ranks before the route:
 * its first rank is class 1, and the others share the classes below by the priority of the route. Class 0 is left to
 * requests that belong to no such workspace, such as the calls of backend servers, whose callers already hold a slot.
 * @param bundle - Bundle in force.
 * @param route - Route of the request.
 * @param workspace - Workspace of the request.
 */
export function computePriorityClass(bundle: Bundle, route: Route, workspace: string): number {
  const rank = bundle.workspaces.get(workspace)?.priority;
  if (rank === undefined) {
    return route.priority;
  }
  if (rank === 0) {
    return 1;
  }
  return route.priority === 0 ? 2 : LOWEST_PRIORITY_CLASS;
}
