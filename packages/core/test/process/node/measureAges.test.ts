import { expect } from 'chai';
import {
  NodeStateMachine,
  type DecisionBasis,
  type NodeCommand,
  type NodeMessage,
} from '../../../src/process/node/index.js';
import { CallTrees } from '../../../src/process/trees/index.js';
import { SeededSource } from '../../support/SeededSource.js';
import { ALBA_KEY, buildTestBundle } from './buildTestBundle.js';

const SELF = { name: 'deep-1', service: 'deep', failureDomain: 'east', incarnation: 'i1' };

const VM = { ...SELF, peerAddress: '127.0.0.1:0', state: 'live' } as const;

const FRONT = { ...VM, name: 'front-1', service: 'front' };

/** Time after which a request for a rate token is denied, with some margin. */
const DENIED_MS = 400;

describe('the log line of a refusal', () => {
  let machine: NodeStateMachine;
  let requests: number;

  beforeEach(() => {
    requests = 0;
    machine = new NodeStateMachine({
      self: SELF,
      random: new SeededSource(5),
      trustedKeys: [],
      startedMs: 0,
      drainLimitMs: 1_000,
    });
  });

  function send(target: string, nowMs: number): readonly NodeCommand[] {
    requests += 1;
    const request = {
      requestId: `r${requests}`,
      method: 'GET',
      target,
      headers: [['authorization', `Bearer ${ALBA_KEY}`]] as const,
      bodySize: 0,
      bodyDigest: '',
      bodyHasKey: false,
      arrivedMs: nowMs,
    };
    return machine.handle({ kind: 'callerRequest', request }, nowMs);
  }

  function handle(nowMs: number, ...messages: readonly NodeMessage[]): readonly NodeCommand[] {
    return messages.flatMap((message) => machine.handle(message, nowMs));
  }

  function advance(fromMs: number, toMs: number): readonly NodeCommand[] {
    const commands: NodeCommand[] = [];
    for (let nowMs = fromMs; nowMs <= toMs; nowMs += 50) {
      commands.push(...handle(nowMs, { kind: 'tick' }));
    }
    return commands;
  }

  function findBasis(commands: readonly NodeCommand[]): DecisionBasis | undefined {
    const line = commands.find((one) => one.kind === 'log' && one.text === 'call was refused');
    return line?.kind === 'log' ? line.basis : undefined;
  }

  it('guards against a derived list that counts as new, or a confirmed list that counts as old', () => {
    const { version } = buildTestBundle();
    handle(1_000, { kind: 'bundleAdopted', bundle: buildTestBundle() });
    handle(1_000, { kind: 'vmsListed', vms: [VM] });
    handle(5_000, { kind: 'listConfirmed' });
    handle(6_000, { kind: 'vmsListed', vms: [VM], isDerived: true });
    advance(6_000, 6_950);
    const basis = findBasis(send('/front/read/a', 7_000)) ?? {};
    expect(basis).to.deep.equal({ usesVmList: true });
    expect(machine.measureAges(basis, 7_000)).to.deep.equal({ listAgeMs: 2_000 });
    expect(machine.measureAges({ configuration: version }, 7_000)).to.deep.equal({
      configurationAgeMs: 6_000,
    });
    expect(machine.measureAges({ configuration: version + 1 }, 7_000)).to.deep.equal({
      configurationAgeMs: 6_000,
      versionInForce: version,
    });
  });

  it('guards against a rate refusal without the ages of the share and the configuration', () => {
    handle(
      1_000,
      { kind: 'bundleAdopted', bundle: buildTestBundle(1) },
      { kind: 'vmsListed', vms: [VM] },
    );
    advance(1_000, 2_000);
    const commands = [
      ...send('/front/read/a', 2_000),
      ...advance(2_050, 2_050 + DENIED_MS),
      ...send('/front/read/b', 2_500),
      ...advance(2_550, 2_550 + DENIED_MS),
    ];
    const basis = findBasis(commands) ?? {};
    expect(basis).to.deep.include({ configuration: 1, rateWorkspace: 'alba' });
    const ages = machine.measureAges(basis, 3_000);
    expect(ages).to.include({ configurationAgeMs: 2_000, shareFraction: 0.25 });
    expect(ages.shareAgeMs).to.be.within(900, 2_100);
  });

  it('guards against a refusal of an attempt that does not name the list and the link of the VM', () => {
    handle(
      1_000,
      { kind: 'bundleAdopted', bundle: buildTestBundle() },
      { kind: 'vmsListed', vms: [VM, FRONT] },
    );
    advance(1_000, 2_000);
    send('/front/read/a', 2_000);
    const commands = handle(2_100, { kind: 'linkFailed', peer: FRONT.name });
    expect(findBasis(commands)).to.deep.equal({ usesVmList: true, linkVm: FRONT.name });
  });

  it('guards against a shed request without the age of the load', () => {
    const trees = new CallTrees('front', new SeededSource(5));
    const load = { inFlight: 8, queued: 8, limit: 8 };
    trees.recordRefusal('deep', load, true, 1_000);
    trees.admission.advance(1_000);
    const described = trees.admission.describe('deep', 1_250);
    expect(described).to.include({ loadAgeMs: 250 });
    expect(described.utilization).to.be.above(2);
    expect(described.shedLevel).to.be.above(0);
    expect(trees.admission.describe('unknown', 1_250).loadAgeMs).to.equal(undefined);
  });
});
