import { LOWEST_PRIORITY_CLASS, type Bundle, type Route } from '@tanagerpond/bundle';

/**
 * Computes the priority class of a caller's request. A priority of the workspace takes precedence over that of the
 * route: workspaces of priority 0 get class 1, and all others get class 2 on routes of priority 0 and the lowest class
 * on other routes. Class 0 is left to requests of workspaces without a priority, such as the calls of backend servers,
 * whose callers already hold a slot.
 * @param bundle - Active bundle.
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
