import { expect } from 'chai';
import { NodeStateMachine, type NodeCommand } from '../../../src/process/node/index.js';
import { SeededSource } from '../../support/SeededSource.js';
import { ALBA_KEY, buildTestBundle } from './buildTestBundle.js';

const SELF = { name: 'deep-1', service: 'deep', failureDomain: 'east', incarnation: 'i1' };

const VM = { ...SELF, peerAddress: '127.0.0.1:0', state: 'live' } as const;

const FRONT = { ...VM, name: 'front-1', service: 'front' };

/** Time at which the node has its share of the rates, in milliseconds. */
const READY_MS = 4_000;

describe('attempts that were dropped with a link', () => {
  it('guards against a call that is refused as not run while its attempt waits for a new link', () => {
    const machine = new NodeStateMachine({
      self: SELF,
      random: new SeededSource(5),
      trustedKeys: [],
      startedMs: 0,
      drainLimitMs: 1_000,
    });
    machine.handle({ kind: 'bundleAdopted', bundle: buildTestBundle() }, 0);
    machine.handle({ kind: 'vmsListed', vms: [VM, FRONT] }, 0);
    for (let nowMs = 0; nowMs <= READY_MS; nowMs += 50) {
      machine.handle({ kind: 'tick' }, nowMs);
    }
    const [dropped, waiting] = ['r1', 'r2'].map((requestId) =>
      findAttempt(machine.handle(createRequest(requestId), READY_MS)),
    );
    expect(dropped).to.not.equal(waiting);
    const commands = machine.handle(
      { kind: 'linkFailed', peer: FRONT.name, callIds: [dropped] },
      READY_MS + 10,
    );
    const refused = commands.flatMap((one) =>
      one.kind === 'refuseRequester' ? [one.requestId] : [],
    );
    expect(refused).to.deep.equal(['r1']);
  });
});

function createRequest(requestId: string) {
  return {
    kind: 'callerRequest' as const,
    request: {
      requestId,
      method: 'GET',
      target: '/front/read/a',
      headers: [['authorization', `Bearer ${ALBA_KEY}`]] as const,
      bodySize: 0,
      bodyDigest: '',
      bodyHasKey: false,
      arrivedMs: READY_MS,
    },
  };
}

/** Finds the id of the attempt that commands send. */
function findAttempt(commands: readonly NodeCommand[]): string {
  const sent = commands.flatMap((one) =>
    one.kind === 'sendRequest' && one.frame.body.case === 'openCall'
      ? [one.frame.body.value.callId]
      : [],
  );
  return sent[0];
}
