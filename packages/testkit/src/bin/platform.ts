import * as platform from '../process/platform/index.js';

// Runs the simulated platform and prints its addresses as one JSON line.
const server = new platform.PlatformServer();
const control = new platform.PlatformControl(server);
const address = await server.open('');
process.stdout.write(`${JSON.stringify({ address, control: await control.open() })}\n`);
// eslint-disable-next-line n/no-process-exit -- open connections would keep the process alive
process.once('SIGTERM', () => process.exit(0));
