import * as url from 'node:url';

/** Entry scripts of the processes of a fleet. These are the compiled files, which Node.js runs without a loader. */
export const SCRIPTS = {
  platform: resolveScript('@tanagerpond/testkit', 'bin/platform.js'),
  backend: resolveScript('@tanagerpond/testkit', 'bin/backend.js'),
  forwarder: resolveScript('@tanagerpond/testkit', 'bin/forwarder.js'),
  node: resolveScript('@tanagerpond/node', 'bin/tanagerpondNode.js'),
} as const;

/** Root folder of the repository, which contains `examples`, `scenarios` and `experiments`. */
export const REPOSITORY_FOLDER = url.fileURLToPath(new URL('../../../../../', import.meta.url));

function resolveScript(packageName: string, script: string): string {
  const name = packageName.slice(packageName.indexOf('/') + 1);
  return url.fileURLToPath(new URL(`../../../../${name}/dist/${script}`, import.meta.url));
}
