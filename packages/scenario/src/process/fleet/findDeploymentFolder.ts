import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import { REPOSITORY_FOLDER } from './scripts.js';

/**
 * Finds the section files of a deployment; those made for scenarios come before the examples of the same name.
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
