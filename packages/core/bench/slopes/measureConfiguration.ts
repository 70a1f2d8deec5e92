import { buildBundle, generateSigningKeys, signBundle, verifyEnvelope } from '@tanagerpond/bundle';
import { buildBenchTexts } from './buildBenchTexts.js';
import { measureCpu, measureHeap } from './measureCpu.js';

const REPEATS = 5;

/** Measures the cost of one bundle by its size: bytes, processor time of verification, and heap. */
export async function measureConfiguration(): Promise<readonly object[]> {
  const keys = await generateSigningKeys();
  return [
    [8, 4],
    [100, 100],
    [400, 400],
    [400, 800],
  ].map(([workspaces = 0, services = 0]) => {
    const texts = buildBenchTexts(workspaces, services, 18_360);
    const signing = { version: 1, signedAt: new Date(0), privateKey: keys.privateKey };
    const envelope = signBundle(texts, signing).unwrapOrElse((error) => {
      throw new Error(JSON.stringify(error));
    });
    // Builds another bundle in between, so that no section file is treated as unchanged.
    buildBundle(1, 'digest', buildBenchTexts(1, 1, 1));
    const firstMs = measureCpu(() => verifyEnvelope(envelope, [keys.publicKey]));
    const changedMs = measureCpu(() => {
      for (let repeat = 0; repeat < REPEATS; repeat++) {
        const changed = `${texts['workspaces.ini']}; change ${repeat}\n`;
        buildBundle(repeat, 'digest', { ...texts, 'workspaces.ini': changed });
      }
    });
    const heap = measureHeap(() => buildBundle(1, 'digest', texts));
    return {
      workspaces,
      services,
      envelopeBytes: envelope.length,
      workspacesBytes: texts['workspaces.ini'].length,
      routesBytes: texts['routes.ini'].length,
      firstMs: round(firstMs),
      changedWorkspacesMs: round(changedMs / REPEATS),
      heapKiB: round(heap.bytes / 1024),
    };
  });
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
