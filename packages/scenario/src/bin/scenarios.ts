import * as fs from 'node:fs/promises';
import * as path from 'node:path';
import { REPOSITORY_FOLDER } from '../process/fleet/index.js';
import { runScenarioCommand } from '../runScenarioCommand.js';

// npm run scenarios -- FILE... runs the given scenarios; without files, it runs those in scenarios/fast and
// scenarios/long.
const named = process.argv.slice(2);
const files = named.length > 0 ? named : await listScenarios();
const failed: string[] = [];
for (let index = 0; index < files.length; index++) {
  const file = files[index];
  process.stdout.write(`${file}\n`);
  if ((await runScenarioCommand(file)) !== 0) {
    failed.push(file);
  }
}
process.stdout.write(`${files.length - failed.length} passed, ${failed.length} failed\n`);
failed.forEach((file) => process.stdout.write(`  failed: ${file}\n`));
process.exitCode = failed.length === 0 ? 0 : 1;

async function listScenarios(): Promise<readonly string[]> {
  const folders = ['fast', 'long'].map((name) => path.join('scenarios', name));
  const lists = await Promise.all(
    folders.map(async (folder) => {
      const names = await fs.readdir(path.join(REPOSITORY_FOLDER, folder));
      return names
        .filter((name) => name.endsWith('.scenario'))
        .sort()
        .map((name) => path.join(folder, name));
    }),
  );
  return lists.flat();
}
