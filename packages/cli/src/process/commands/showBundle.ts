import type { Route, Workspace } from '@tanagerpond/bundle';
import { EXIT, type ExitCode } from '../exitCodes.js';
import type { Terminal } from '../Terminal.js';
import type { JsonOptions } from './bundleCommands.js';
import { readEnvelope } from './readEnvelope.js';

/**
 * Prints the content of an envelope. The signature is not verified.
 * @param file - Envelope file.
 * @param options - Whether to print JSON.
 * @param terminal - Output for the content.
 */
export async function showBundle(
  file: string,
  options: JsonOptions,
  terminal: Terminal,
): Promise<ExitCode> {
  const read = await readEnvelope(file, terminal);
  if (read === undefined) {
    return EXIT.badInput;
  }
  const { manifest, bundle } = read;
  const workspaces = [...bundle.workspaces.values()];
  const services = [...bundle.services.values()];
  const routes = [...bundle.routes.values()];
  if (options.json) {
    const { fleet } = bundle;
    terminal.write(JSON.stringify({ manifest, fleet, workspaces, services, routes }, null, 2));
    return EXIT.done;
  }
  terminal.write(`version ${manifest.version}, signed ${manifest.signedAt} (not verified)`);
  terminal.write(`fleet: ${describeFields(bundle.fleet)}`);
  workspaces.forEach((workspace) => terminal.write(describeWorkspace(workspace)));
  services.forEach(({ name, ...fields }) =>
    terminal.write(`service ${name}: ${describeFields(fields)}`),
  );
  routes.forEach((route) => terminal.write(describeRoute(route)));
  return EXIT.done;
}

function describeWorkspace(workspace: Workspace): string {
  const { name, rate, burst, weight, keyDigests, open } = workspace;
  const keys = open ? 'open' : `${keyDigests.length} keys`;
  return `workspace ${name}: ${rate}/s, burst ${burst}, weight ${weight}, ${keys}`;
}

function describeRoute(route: Route): string {
  const attributes = [
    `class ${route.priority}`,
    route.repeatable ? 'repeatable' : 'not repeatable',
    ...(route.open ? ['open'] : []),
    ...(route.calls.length > 0 ? [`calls ${route.calls.join(', ')}`] : []),
  ];
  return `route ${route.name}: ${route.method} /${route.service}${route.path} (${attributes.join('; ')})`;
}

function describeFields(fields: object): string {
  return Object.entries(fields)
    .map(([name, value]) => `${name} ${value}`)
    .join(', ');
}
