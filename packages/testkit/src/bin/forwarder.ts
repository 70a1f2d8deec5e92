import * as fs from 'node:fs/promises';
import * as forwarder from '../process/forwarder/index.js';

// Usage: forwarder.js OPTIONS.json. Runs the baseline's forwarder and prints its address as one JSON line.
const text = await fs.readFile(process.argv[2] ?? '', 'utf8');
const server = new forwarder.PlainForwarder(JSON.parse(text) as forwarder.ForwarderOptions);
process.stdout.write(`${JSON.stringify({ address: await server.open() })}\n`);
// eslint-disable-next-line n/no-process-exit -- open connections would keep the process alive
process.once('SIGTERM', () => process.exit(0));
