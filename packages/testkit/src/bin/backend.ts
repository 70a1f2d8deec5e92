import * as fs from 'node:fs/promises';
import * as backend from '../process/backend/index.js';

// Usage: backend.js OPTIONS.json. Runs a simulated backend server and prints its addresses as one JSON line.
const text = await fs.readFile(process.argv[2] ?? '', 'utf8');
const server = new backend.BackendServer(backend.backendOptionsSchema.parse(JSON.parse(text)));
const control = backend.createBackendControl(server);
const address = await server.open();
process.stdout.write(`${JSON.stringify({ address, control: await control.open() })}\n`);
process.once('SIGTERM', () => {
  // eslint-disable-next-line n/no-process-exit -- idle connections would keep the process alive
  void server.drain().then(() => process.exit(0));
});
