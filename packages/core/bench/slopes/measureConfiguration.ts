import { buildBundle, generateSigningKeys, signBundle, verifyEnvelope } from '@tanagerpond/bundle';
import { buildBenchTexts } from './buildBenchTexts.js';
import { measureCpu, measureHeap } from './measureCpu.js';

const REPEATS = 5;

/** Cost of one bundle by its size: bytes, verification, heap. */
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
    const verify = () => verifyEnvelope(envelope, [keys.publicKey]);
    verify();
    const cpuMs = measureCpu(() => {
      for (let repeat = 0; repeat < REPEATS; repeat++) {
        verify();
      }
    });
    const heap = measureHeap(() => buildBundle(1, 'digest', texts));
    return {
      workspaces,
      services,
      envelopeBytes: envelope.length,
      workspacesBytes: texts['workspaces.ini'].length,
      routesBytes: texts['routes.ini'].length,
      verifyMs: round(cpuMs / REPEATS),
      heapKiB: round(heap.bytes / 1024),
    };
  });
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
