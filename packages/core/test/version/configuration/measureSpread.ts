import { performance } from 'node:perf_hooks';
import * as url from 'node:url';
import { digestText, loadSections, verifyEnvelope, type SectionTexts } from '@tanagerpond/bundle';
import { signTexts, TRUSTED_KEY } from './sampleBundles.js';
import { TrackerFleet } from './TrackerFleet.js';

/*
 * Measures how a new version reaches all nodes: `npx tsx packages/core/test/version/configuration/measureSpread.ts [NODES [CHANGES]]`.
 * The network and the clock are those of the test fleet; only the time to build a bundle is real time.
 */

const FAILURE_DOMAINS = 23;
const LIMIT_MS = 60_000;
const IDLE_MS = 60_000;
const BUILDS = 10;
const DESIGN_SERVICES = 2_600;
const DESIGN_WORKSPACES = 400;

const [nodes = 200, changes = 20] = process.argv.slice(2).map(Number);
const example = url.fileURLToPath(new URL('../../../../../examples/ferreyra', import.meta.url));
const ferreyra = (await loadSections(example)).unwrapOrElse((error) => {
  throw new Error(JSON.stringify(error));
});
report('ferreyra, frames take up to 3 ms', ferreyra, 3);
report('ferreyra, frames take up to 150 ms', ferreyra, 150);
report('ferreyra, up to 3 ms, 20% of the frames lost', ferreyra, 3, 0.2);
report('design size, frames take up to 3 ms', createDesignSize(), 3);

function report(name: string, texts: SectionTexts, latencyMs: number, loss = 0): void {
  const fleet = new TrackerFleet(nodes, FAILURE_DOMAINS, 11);
  fleet.latencyMs = latencyMs;
  fleet.service = signTexts(1, texts);
  const envelopeBytes = Buffer.byteLength(fleet.service);
  const buildMs = measureBuild(texts);
  fleet.start();
  fleet.runUntil(() => fleet.isEverywhere(1), LIMIT_MS);
  fleet.runFor(10_000);
  const idle = measureSent(fleet, () => fleet.runFor(IDLE_MS));
  fleet.isLost = () => loss > 0 && fleet.next() < loss;
  const times: number[] = [];
  const change = measureSent(fleet, () => {
    for (let version = 2; version <= changes + 1; version++) {
      fleet.publish(signTexts(version, changeRate(texts, version)));
      times.push(fleet.runUntil(() => fleet.isEverywhere(version), LIMIT_MS) ?? Infinity);
    }
  });
  const seconds = times.reduce((sum, time) => sum + time, 0) / 1_000;
  const idleBytesPerSecond = (idle.bytes * 1_000) / IDLE_MS;
  process.stdout.write(
    `${JSON.stringify({
      name,
      nodes,
      changes,
      envelopeBytes,
      sectionBytes: Buffer.byteLength(texts['workspaces.ini']),
      medianMs: [...times].sort((left, right) => left - right)[Math.floor(changes / 2)],
      worstMs: Math.max(...times),
      framesPerNodeAndChange: round(change.frames / changes),
      bytesPerNodeAndChange: Math.round((change.bytes - idleBytesPerSecond * seconds) / changes),
      idleBytesPerSecond: round(idleBytesPerSecond),
      verifyAndBuildMs: round(buildMs),
    })}\n`,
  );
}

/** Frames and bytes that a node sent on average while `act` ran. */
function measureSent(fleet: TrackerFleet, act: () => void): { frames: number; bytes: number } {
  const all = [...fleet.nodes.values()];
  const sum = (pick: (node: (typeof all)[number]) => number): number =>
    all.reduce((total, node) => total + pick(node), 0);
  const before = { frames: sum((node) => node.sentFrames), bytes: sum((node) => node.sentBytes) };
  act();
  return {
    frames: (sum((node) => node.sentFrames) - before.frames) / all.length,
    bytes: (sum((node) => node.sentBytes) - before.bytes) / all.length,
  };
}

/** Real time to verify and build a bundle in which only the workspaces changed. */
function measureBuild(texts: SectionTexts): number {
  const envelopes = Array.from({ length: BUILDS }, (_, index) =>
    signTexts(index + 2, changeRate(texts, index + 2)),
  );
  const startedMs = performance.now();
  envelopes.forEach((envelope) => verifyEnvelope(envelope, [TRUSTED_KEY]));
  return (performance.now() - startedMs) / BUILDS;
}

function changeRate(texts: SectionTexts, version: number): SectionTexts {
  const changed = texts['workspaces.ini'].replace(/rate = \d+/, `rate = ${1_000 + version}`);
  return { ...texts, 'workspaces.ini': changed };
}

/**
 * Creates a bundle of the designed size: 2,600 services with two short routes each, and 400 workspaces with two keys
 * each.
 */
function createDesignSize(): SectionTexts {
  const services = Array.from({ length: DESIGN_SERVICES }, (_, index) => `service-${index}`);
  const workspaces = Array.from({ length: DESIGN_WORKSPACES }, (_, index) => {
    const digests = [2 * index, 2 * index + 1].map((key) => digestText(String(key)));
    return `[workspace tenant-${index}]\nrate = 100\nburst = 200\nkey-digests = ${digests.join(', ')}\n`;
  });
  return {
    'fleet.ini': '[fleet]\nmax-vms = 20000\n',
    'workspaces.ini': workspaces.join('\n'),
    'services.ini': services
      .map((name) => `[service ${name}]\nslots = 50\nconnections = 400\nqueue = 100\n`)
      .join('\n'),
    'routes.ini': services
      .flatMap((name) => [
        `[route ${name}.read]\nmethod = GET\npath = /items/:id\nrepeatable = yes\n`,
        `[route ${name}.write]\nmethod = POST\npath = /items\nrepeatable = no\n`,
      ])
      .join('\n'),
  };
}

function round(value: number): number {
  return Math.round(value * 10) / 10;
}
