import { expect } from 'chai';
import { BodyStore } from '../../../src/process/bodies/index.js';

describe('BodyStore', () => {
  let store: BodyStore;

  beforeEach(() => {
    store = new BodyStore(100);
  });

  function add(name: string, size: number): void {
    store.add(name, Buffer.alloc(size), store.tryReserve(size) ?? expect.fail('budget'));
  }

  it('guards against releasing the budget of a body that a link is still sending', () => {
    add('a', 60);
    const held = store.takeReference('a');
    store.release('a');
    expect([store.used, store.tryReserve(50)]).to.deep.equal([60, undefined]);
    held?.release();
    held?.release();
    expect(store.used).to.equal(0);
  });

  it('guards against an alias that loses its body, or a body that is charged twice', () => {
    add('a', 60);
    expect(store.addAlias('a', 'b')).to.equal(true);
    expect(store.addAlias('a', 'a')).to.equal(true);
    expect(store.addAlias('none', 'c')).to.equal(false);
    store.release('a');
    expect([store.used, store.takeReference('b')?.bytes.length]).to.deep.equal([60, 60]);
  });

  it('guards against a replaced body that stays charged', () => {
    add('a', 60);
    add('a', 40);
    add('b', 30);
    store.addAlias('a', 'b');
    expect(store.used).to.equal(40);
    store.release('a');
    store.release('b');
    store.release('b');
    expect([store.used, store.count]).to.deep.equal([0, 0]);
  });

  it('guards against a reservation that grows beyond the budget', () => {
    const reservation = store.tryReserve(90);
    expect(reservation?.tryGrow(11)).to.equal(false);
    expect(reservation?.tryGrow(10)).to.equal(true);
    reservation?.release();
    expect(store.used).to.equal(0);
  });
});
