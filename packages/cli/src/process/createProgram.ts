import { cac, type CAC } from 'cac';
import * as commands from './commands/index.js';
import type { Terminal } from './Terminal.js';

const EXIT_HELP = 'Exit codes: 0 done, 1 the check or run failed, 2 usage or bad input.';

/**
 * Creates the command-line parser with all commands registered.
 * @param terminal - Input and output of the commands.
 */
export function createProgram(terminal: Terminal): CAC {
  const program = cac('tanagerpond');
  addBundleCommands(program, terminal);
  addKeyCommands(program, terminal);
  addNodeCommands(program, terminal);
  addScenarioCommands(program, terminal);
  addLogCommands(program, terminal);
  program.help((sections) => [...sections, { body: EXIT_HELP }]);
  return program;
}

function addBundleCommands(program: CAC, terminal: Terminal): void {
  program
    .command('bundle check <directory>', 'Check the four INI files of a bundle')
    .option('--json', 'Print the result as JSON')
    .example('tanagerpond bundle check examples/ferreyra')
    .action((directory, options) => commands.checkBundle(String(directory), options, terminal));
  program
    .command('bundle sign <directory>', 'Check the files and sign them as one envelope')
    .option('--version <number>', 'Version, greater than the one in force')
    .option('--key <file>', 'Private signing key in PEM')
    .option('--out <file>', 'File for the envelope')
    .example('tanagerpond bundle sign examples/ferreyra --version 7 --key signing.pem --out 7.json')
    .action((directory, options) => commands.signBundleFiles(String(directory), options, terminal));
  program
    .command('bundle verify <file>', 'Verify the signature and the content of an envelope')
    .option('--trust <key>', 'Trusted public key; may be given more than once')
    .option('--json', 'Print the result as JSON')
    .example('tanagerpond bundle verify 7.json --trust=PUBLICKEY')
    .action((file, options) => commands.verifyBundle(String(file), options, terminal));
  program
    .command('bundle show <file>', 'Show an envelope; its signature is not verified')
    .option('--json', 'Print the result as JSON')
    .example('tanagerpond bundle show 7.json')
    .action((file, options) => commands.showBundle(String(file), options, terminal));
  program
    .command('bundle diff <old> <new>', 'Show what changes between two envelopes')
    .option('--json', 'Print the result as JSON')
    .example('tanagerpond bundle diff 6.json 7.json')
    .action((old, next, options) => commands.diffBundles(`${old}`, `${next}`, options, terminal));
}

function addKeyCommands(program: CAC, terminal: Terminal): void {
  program
    .command('key new', 'Create a key for a caller and print it with its digest')
    .option('--json', 'Print the result as JSON')
    .example('tanagerpond key new')
    .action((options) => commands.createCallerKey(options, terminal));
  program
    .command('key digest', 'Print the digest of the key on standard input')
    .example('tanagerpond key digest < caller.key')
    .action(() => commands.digestCallerKey(terminal));
  program
    .command('key signing', 'Create a key pair for signing bundles and print the public key')
    .option('--out <file>', 'New file for the private key; gets mode 600')
    .example('tanagerpond key signing --out signing.pem')
    .action((options) => commands.createSigningKey(options, terminal));
}

function addNodeCommands(program: CAC, terminal: Terminal): void {
  program
    .command('state dump <address>', 'Show the state of a node by its admin listener')
    .option('--json', 'Print the state as JSON')
    .example('tanagerpond state dump 127.0.0.1:9901')
    .action((address, options) => commands.dumpState(String(address), options, terminal));
  program
    .command('node drain <address>', 'Start the graceful shutdown of a node')
    .example('tanagerpond node drain 127.0.0.1:9901')
    .action((address) => commands.drainNode(String(address), terminal));
}

function addLogCommands(program: CAC, terminal: Terminal): void {
  program
    .command(
      'log trace <id> <...files>',
      'Show all lines about one request in the logs of several nodes',
    )
    .example('tanagerpond log trace 9c41d07be2a35f68 node-a.log node-b.log')
    .action((id, files) => commands.traceRequest(String(id), files as string[], terminal));
}

function addScenarioCommands(program: CAC, terminal: Terminal): void {
  program
    .command('scenario run <file>', 'Run a scenario on real processes')
    .option('--seed <number>', 'Seed of arrivals and service times')
    .example('tanagerpond scenario run scenarios/surge.scenario --seed 3')
    .action((file, options) => commands.runScenario(String(file), options, terminal));
  program
    .command('experiment run <file>', 'Run an experiment with its baseline and write the results')
    .option('--folder <folder>', 'Folder of the results')
    .example('tanagerpond experiment run experiments/surge.ini --folder results')
    .action((file, options) => commands.runExperiment(String(file), options, terminal));
  program
    .command('demo', 'Start an example, send it a mixed load and stop it again')
    .option('--example <name>', 'ferreyra or rodopa')
    .option('--seconds <number>', 'Time for which load is sent')
    .option('--seed <number>', 'Seed of the load')
    .example('tanagerpond demo --example rodopa')
    .action((options) => commands.runDemo(options, terminal));
}
