import { runDemoCommand } from '../runDemoCommand.js';

// npm run demo -- [rodopa|ferreyra]
process.exitCode = await runDemoCommand({ example: process.argv[2] ?? 'rodopa' });
