import * as fs from 'node:fs/promises';
import * as caller from '../process/caller/index.js';

// Usage: caller.js OPTIONS.json. Sends one load; prints one JSON line at the start and one with the summary at the end.
const text = await fs.readFile(process.argv[2] ?? '', 'utf8');
const options = caller.callerOptionsSchema.parse(JSON.parse(text));
process.stdout.write(`${JSON.stringify({ entries: options.entries })}\n`);
await using load = new caller.CallerLoad(options);
process.once('SIGTERM', () => load.stop());
await load.run();
const summary = caller.collectSummary(load.records);
process.stdout.write(
  `${JSON.stringify({ sent: load.sent, attempts: load.attempts, ...summary })}\n`,
);
