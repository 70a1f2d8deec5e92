import { expect } from 'chai';
import { Membership, type VmRecord } from '../../../src/process/membership/index.js';

const SELF = { name: 'a-1', service: 'a', failureDomain: 'east', incarnation: 'i0' };

function listBackends(backendIncarnation?: string): readonly VmRecord[] {
  return ['b-1', 'b-2'].map((name) => ({
    name,
    service: 'b',
    failureDomain: 'east',
    peerAddress: '127.0.0.1:1',
    state: 'live',
    ...(backendIncarnation === undefined ? {} : { backendIncarnation }),
  }));
}

function createMembership(): Membership {
  const members = new Membership(SELF);
  members.replaceList(listBackends(), 0);
  members.markLeaving('b-1', 'i1');
  return members;
}

function listCandidates(members: Membership): readonly string[] {
  return members.findCandidates('b').map(({ name }) => name);
}

describe('Membership', () => {
  it('guards against calls to a VM that announced that it is leaving but is still listed as live', () => {
    expect(listCandidates(createMembership())).to.deep.equal(['b-2']);
  });

  it('guards against a restarted VM that is never connected to because its previous process was leaving', () => {
    const members = createMembership();
    members.recordLinkLost('b-1', 'i1');
    expect(listCandidates(members)).to.deep.equal(['b-1', 'b-2']);
  });

  it('guards against the late loss of an old link that clears the mark as leaving of the current process', () => {
    const members = createMembership();
    members.recordLinkLost('b-1', 'i0');
    expect(listCandidates(members)).to.deep.equal(['b-2']);
  });

  it('guards against calls to a leaving backend server whose node has restarted or which the list names again', () => {
    const members = createMembership();
    members.replaceList(listBackends('born-1'), 0);
    members.markBackendLeaving('b-1');
    members.recordLinkLost('b-1', 'i1');
    members.recordHello('b-1', 'i2');
    expect(listCandidates(members)).to.deep.equal(['b-2']);
    members.replaceList([], 1);
    members.replaceList(listBackends('born-1'), 2);
    expect(listCandidates(members)).to.deep.equal(['b-2']);
  });

  it('guards against a new backend server that is avoided because an earlier one at its VM was leaving', () => {
    const members = createMembership();
    members.replaceList(listBackends('born-1'), 0);
    members.markBackendLeaving('b-1');
    members.recordHello('b-1', 'i2');
    members.replaceList(listBackends('born-2'), 1);
    expect(listCandidates(members)).to.deep.equal(['b-1', 'b-2']);
  });
});
