import { expect } from 'chai';
import * as membership from '../../../src/process/membership/index.js';
import * as configuration from '../../../src/version/configuration/index.js';
import { signSample, TRUSTED_KEY } from './sampleBundles.js';

const SELF = { name: 'vm-0', service: 'shop', failureDomain: 'fd', incarnation: 'i' };
const PEER = { name: 'vm-1', service: 'shop', failureDomain: 'fd', peerAddress: '', state: 'live' };

describe('StartPhase', () => {
  it('guards against a start that relies on the service alone because the list of VMs arrives late', () => {
    const list = new membership.Membership(SELF);
    const tracker = new configuration.ConfigurationTracker({
      self: SELF,
      membership: list,
      random: { next: () => 0.5 },
      trustedKeys: [TRUSTED_KEY],
      startedMs: 0,
    });
    tracker.advance(0);
    tracker.offerEnvelope(signSample(1), 10);
    tracker.advance(4_000);
    expect(tracker.isReady()).to.equal(false);
    list.replaceList([{ ...PEER, state: 'live' }], 4_050);
    const asked = tracker.advance(4_050).filter(({ kind }) => kind === 'sendRequest');
    expect(asked.map((command) => 'peer' in command && command.peer)).to.include('vm-1');
    tracker.advance(4_100);
    expect(tracker.isReady()).to.equal(false);
  });
});
