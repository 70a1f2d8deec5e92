import type { BundleProblem } from '../BundleError.js';
import type { Fleet } from '../fleetSchema.js';
import type { Route } from '../routeSchema.js';
import type { Service } from '../serviceSchema.js';
import type { Workspace } from '../workspaceSchema.js';
import { checkCalls } from './checkCalls.js';
import { checkPaths } from './checkPaths.js';
import type { ParsedSection } from './parseSections.js';

/** Sections of all files, each of which is valid by itself. */
export interface ParsedSections {
  readonly fleet: readonly ParsedSection<Fleet>[];
  readonly workspaces: readonly ParsedSection<Workspace>[];
  readonly services: readonly ParsedSection<Service>[];
  readonly routes: readonly ParsedSection<Route>[];
}

/**
 * Validates the rules that involve more than one section.
 * @param parsed - Sections of all files.
 * @returns The problems; empty for a valid bundle.
 */
export function checkSections(parsed: ParsedSections): readonly BundleProblem[] {
  const [fleet] = parsed.fleet;
  if (fleet === undefined) {
    return [{ file: 'fleet.ini', section: 'fleet', expected: 'the section [fleet]' }];
  }
  return [
    ...checkDeadlines(fleet),
    ...checkKeyDigests(parsed.workspaces),
    ...checkOpenWorkspace(parsed),
    ...checkRouteServices(parsed),
    ...checkPaths(parsed.routes),
    ...checkCalls(parsed.routes, fleet.value.maxDepth),
  ];
}

function checkDeadlines(fleet: ParsedSection<Fleet>): readonly BundleProblem[] {
  if (fleet.value.defaultDeadlineMs <= fleet.value.maxDeadlineMs) {
    return [];
  }
  const expected = 'a duration of at most max-deadline';
  return [
    { file: 'fleet.ini', section: 'fleet', key: 'default-deadline', line: fleet.line, expected },
  ];
}

function checkKeyDigests(
  workspaces: readonly ParsedSection<Workspace>[],
): readonly BundleProblem[] {
  const owners = new Map<string, string>();
  return workspaces.flatMap(({ value, header, line }) =>
    value.keyDigests.flatMap((digest): readonly BundleProblem[] => {
      const owner = owners.get(digest);
      owners.set(digest, value.name);
      if (owner === undefined) {
        return [];
      }
      const expected = `each key digest only once; ${digest.slice(0, 8)}... is also in workspace ${owner}`;
      return [{ file: 'workspaces.ini', section: header, key: 'key-digests', line, expected }];
    }),
  );
}

function checkOpenWorkspace(parsed: ParsedSections): readonly BundleProblem[] {
  const open = parsed.workspaces.filter(({ value }) => value.open);
  if (open.length === 0) {
    return parsed.routes
      .filter(({ value }) => value.open)
      .map(({ header, line }) => ({
        file: 'routes.ini',
        section: header,
        key: 'open',
        line,
        expected: 'a workspace with open = yes, to which requests of open routes are attributed',
      }));
  }
  return open.slice(1).map(({ header, line }) => ({
    file: 'workspaces.ini',
    section: header,
    key: 'open',
    line,
    expected: 'at most one workspace with open = yes',
  }));
}

function checkRouteServices(parsed: ParsedSections): readonly BundleProblem[] {
  const known = new Set(parsed.services.map(({ value }) => value.name));
  return parsed.routes
    .filter(({ value }) => !known.has(value.service))
    .map(({ header, line }) => ({
      file: 'routes.ini',
      section: header,
      line,
      expected: 'the name of a service of services.ini before the dot',
    }));
}
