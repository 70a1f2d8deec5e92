import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import { REPOSITORY_FOLDER } from './scripts.js';

/**
 * Finds the folder with the section files of a deployment. A folder in `scenarios/deployments` takes precedence over
 * one of the same name in `examples`; whether the latter exists is not checked.
 * @param name - Name of the folder.
 */
export async function findDeploymentFolder(name: string): Promise<string> {
  const own = path.join(REPOSITORY_FOLDER, 'scenarios', 'deployments', name);
  const isOwn = await fs.access(own).then(
    () => true,
    () => false,
  );
  return isOwn ? own : path.join(REPOSITORY_FOLDER, 'examples', name);
}
