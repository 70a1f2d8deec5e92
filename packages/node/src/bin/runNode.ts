import { performance } from 'node:perf_hooks';
import { cac } from 'cac';
import { Result } from 'true-myth';
import type { NodePorts } from '../ports/index.js';
import { NodeProcess } from '../process/host/index.js';
import { BoundedLineStream, createLogger } from '../process/log/index.js';
import { loadSettings, SettingsReloader } from '../process/settings/index.js';
import type { AdaptSettings, Settings } from '../process/settings/index.js';
import { createDecisionEngine } from './createDecisionEngine.js';

/** Maximum bytes of log lines that wait for a slow reader; a few seconds of lines at the default rate. */
const LOG_BACKLOG_BYTES = 256 * 1024;

/** Exit code when the command line or the settings file is not valid. */
const EXIT_USAGE = 2;

/** Exit code when a listener cannot be opened. */
const EXIT_START = 1;

/**
 * Runs the command line of the node: checks the settings, or runs a node until it is drained.
 * @param argv - Arguments, starting with the program and the script.
 * @param ports - Adapters to a platform; the native ones by default.
 * @returns Resolves with the exit code when the process may end: 0, 1 if a listener cannot be opened, 2 if the command
 *   line or the settings file is not valid.
 */
export async function runNode(argv: readonly string[], ports?: NodePorts): Promise<number> {
  const cli = cac('tanagerpond-node');
  cli.option('--settings <file>', 'Settings file (INI)');
  cli.option('--check', 'Check the settings and exit');
  cli.help();
  const { options } = cli.parse([...argv], { run: false });
  if (options.help === true) {
    return 0;
  }
  if (typeof options.settings !== 'string') {
    process.stderr.write('settings: expected --settings FILE\n');
    return EXIT_USAGE;
  }
  const adapt = selectAdapt(ports);
  const loaded = (await loadSettings(options.settings)).andThen(adapt);
  if (loaded.isErr) {
    process.stderr.write(`${loaded.error.message.replace(/^/gm, 'settings: ')}\n`);
    return EXIT_USAGE;
  }
  return options.check === true ? 0 : runProcess(options.settings, loaded.value, ports);
}

async function runProcess(file: string, settings: Settings, ports?: NodePorts): Promise<number> {
  const now = (): number => performance.now();
  // The reader of the log may end before this process, which must go on serving.
  [process.stdout, process.stderr].forEach((stream) => stream.on('error', () => undefined));
  const lines = new BoundedLineStream({
    target: process.stdout,
    now,
    linesPerSecond: settings.log.linesPerSecond,
    backlogBytes: LOG_BACKLOG_BYTES,
  });
  const log = createLogger({
    level: settings.log.level,
    stream: lines.input,
    dropIfFull: () => lines.dropIfFull(),
    now,
  });
  await using host = new NodeProcess({
    settings,
    log,
    ...(ports === undefined ? {} : { ports }),
    createDecisions: (start) => createDecisionEngine(settings, start),
  });
  const reload = new SettingsReloader(file, settings, log, selectAdapt(ports));
  process.on('SIGHUP', () => {
    void reload.run();
  });
  process.once('SIGTERM', () => host.drain());
  process.once('SIGINT', () => host.drain());
  try {
    const addresses = await host.start();
    process.stdout.write(`${JSON.stringify({ ready: true, addresses })}\n`);
  } catch (error) {
    const text = error instanceof Error ? error.message : String(error);
    log.write('error', 'settings', 'listener could not be opened', { error: text });
    return EXIT_START;
  }
  await host.waitDrained();
  log.write('info', 'drain', 'drained');
  return 0;
}

function selectAdapt(ports: NodePorts | undefined): AdaptSettings {
  return ports?.adaptSettings ?? ((settings) => Result.ok(settings));
}
