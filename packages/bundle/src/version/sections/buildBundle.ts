import { Result } from 'true-myth';
import { resolveRouteTable } from '../../request/matchRoute.js';
import type { Bundle } from '../Bundle.js';
import { MAX_PROBLEMS, type BundleError } from '../BundleError.js';
import { checkSections } from './checkSections.js';
import { parseSectionsCached } from './parseSectionsCached.js';
import { FLEET_KIND, ROUTE_KIND, SERVICE_KIND, WORKSPACE_KIND } from './sectionKinds.js';
import type { SectionTexts } from './SectionFile.js';

/**
 * Parses the section files of a bundle, validates them and builds the bundle.
 * @param version - Version number of the manifest.
 * @param digest - SHA-256 digest of the manifest, in lower-case hexadecimal.
 * @param texts - Content of the four section files.
 * @returns The bundle, or `sectionsInvalid` with the problems found.
 */
export function buildBundle(
  version: number,
  digest: string,
  texts: SectionTexts,
): Result<Bundle, BundleError> {
  const fleet = parseSectionsCached('fleet.ini', texts['fleet.ini'], FLEET_KIND, () => ({}));
  const workspaces = parseSectionsCached(
    'workspaces.ini',
    texts['workspaces.ini'],
    WORKSPACE_KIND,
    (name) => ({ name }),
  );
  const services = parseSectionsCached(
    'services.ini',
    texts['services.ini'],
    SERVICE_KIND,
    (name) => ({
      name,
    }),
  );
  const routes = parseSectionsCached('routes.ini', texts['routes.ini'], ROUTE_KIND, (name) => ({
    name,
    service: name.split('.')[0],
  }));
  const files = [fleet, workspaces, services, routes];
  const problems = files.flatMap((file) => file.problems);
  const parsed = {
    fleet: fleet.sections,
    workspaces: workspaces.sections,
    services: services.sections,
    routes: routes.sections,
  };
  // Checks across sections need complete files; otherwise they would only report consequences of the first problems.
  const allProblems = problems.length > 0 ? problems : checkSections(parsed);
  const fleetSection = fleet.sections[0];
  if (allProblems.length > 0 || fleetSection === undefined) {
    return Result.err({ kind: 'sectionsInvalid', problems: allProblems.slice(0, MAX_PROBLEMS) });
  }
  const open = workspaces.sections.find(({ value }) => value.open);
  const bundle: Bundle = {
    version,
    digest,
    fleet: fleetSection.value,
    workspaces: new Map(workspaces.sections.map(({ value }) => [value.name, value])),
    workspaceByKeyDigest: new Map(
      workspaces.sections.flatMap(({ value }) =>
        value.keyDigests.map((keyDigest): [string, string] => [keyDigest, value.name]),
      ),
    ),
    openWorkspace: open?.value.name,
    services: new Map(services.sections.map(({ value }) => [value.name, value])),
    routes: new Map(routes.sections.map(({ value }) => [value.name, value])),
  };
  resolveRouteTable(bundle);
  return Result.ok(bundle);
}
