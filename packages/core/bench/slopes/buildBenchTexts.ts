import { digestKey, type SectionTexts } from '@tanagerpond/bundle';

const ROUTES_PER_SERVICE = 4;

/**
 * Builds the section files of a bundle of a given size.
 * @param workspaces - Number of workspaces, with two keys each.
 * @param services - Number of services, with four routes each; each service calls the next one.
 * @param maxVms - Largest number of live VMs.
 */
export function buildBenchTexts(
  workspaces: number,
  services: number,
  maxVms: number,
): SectionTexts {
  const names = Array.from({ length: services }, (_, index) => `service-${index}`);
  return {
    'fleet.ini': formatFleet(maxVms),
    'workspaces.ini': Array.from({ length: workspaces }, (_, index) => formatWorkspace(index)).join(
      '',
    ),
    'services.ini': names
      .map((name) => `[service ${name}]\nslots = 50\nconnections = 400\nqueue = 100\n\n`)
      .join(''),
    'routes.ini': names.map((name, index) => formatRoutes(name, names[index + 1])).join(''),
  };
}

function formatFleet(maxVms: number): string {
  return `[fleet]
max-vms = ${maxVms}
share-lease = 3s
extra-attempts = 3
max-depth = 20
ticket-life = 10m
default-deadline = 3s
max-deadline = 30s
poison-block = 10m
`;
}

function formatWorkspace(index: number): string {
  const digests = ['first', 'second'].map((key) => digestKey(`${key}-${index}`)).join(', ');
  return `[workspace workspace-${index}]
rate = 100
burst = 200
weight = 1
key-digests = ${digests}

`;
}

function formatRoutes(service: string, next: string | undefined): string {
  return Array.from({ length: ROUTES_PER_SERVICE }, (_, index) => {
    const calls = index === 0 && next !== undefined ? `calls = ${next}.route-3\n` : '';
    return `[route ${service}.route-${index}]
method = GET
path = /things-${index}/:id
priority = 2
repeatable = yes
${calls}max-body = 1KiB
max-answer = 64KiB

`;
  }).join('');
}
