import { runExperimentCommand } from '../runExperimentCommand.js';

// npm run experiment -- FILE...
const files = process.argv.slice(2);
let code = files.length === 0 ? 2 : 0;
for (let index = 0; index < files.length; index++) {
  code = Math.max(code, await runExperimentCommand(files[index]));
}
process.exitCode = code;
