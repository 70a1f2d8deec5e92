import { expect } from 'chai';
import { CallRatios } from '../../../src/process/trees/index.js';
import { EventHeap } from '../../support/EventHeap.js';
import { SeededSource } from '../../support/SeededSource.js';

/** Length of the simulated load, in milliseconds. */
const LENGTH_MS = 60_000;

interface SimulatedRoute {
  readonly name: string;
  readonly perSecond: number;
  readonly runMs: number;
  /** Calls that one run makes to the route `leaf`. */
  readonly calls: number;
}

/** Simulates routes of one backend server whose outgoing calls name no parent. */
function runRoutes(routes: readonly SimulatedRoute[]): CallRatios {
  const ratios = new CallRatios();
  const events = new EventHeap();
  const random = new SeededSource(7);
  routes.forEach(({ name, perSecond, runMs, calls }) => {
    const start = (atMs: number): void => {
      ratios.recordStart(name);
      Array.from({ length: calls }, (_, index) =>
        events.schedule(atMs + (runMs * (index + 1)) / (calls + 1), () =>
          ratios.recordCall('leaf'),
        ),
      );
      events.schedule(atMs + runMs, () => ratios.recordEnd(name, runMs));
      const nextMs = atMs + (-Math.log(1 - random.next()) * 1_000) / perSecond;
      if (nextMs < LENGTH_MS) {
        events.schedule(nextMs, () => start(nextMs));
      }
    };
    events.schedule(0, () => start(0));
  });
  events.runDue(2 * LENGTH_MS);
  return ratios;
}

describe('CallRatios', () => {
  it('guards against calls without a parent that are attributed to a route that makes none', () => {
    const ratios = runRoutes([
      { name: 'download', perSecond: 8, runMs: 96, calls: 0 },
      { name: 'catalog', perSecond: 40, runMs: 140, calls: 4 },
    ]);
    expect(ratios.list('catalog').get('leaf')).to.be.within(3.2, 4.8);
    expect(ratios.list('download').get('leaf') ?? 0).to.be.below(0.5);
  });

  it('guards against a tree whose calls are underestimated while its route has run only a few times', () => {
    const ratios = new CallRatios();
    for (let run = 0; run < 5; run += 1) {
      ratios.recordStart('catalog');
      Array.from({ length: 4 }, () => ratios.recordCall('leaf'));
      ratios.recordEnd('catalog', 140);
    }
    expect(ratios.list('catalog').get('leaf')).to.be.within(3.5, 4.5);
  });

  it('guards against a ratio that stays when a route no longer makes calls', () => {
    const ratios = runRoutes([{ name: 'catalog', perSecond: 20, runMs: 50, calls: 2 }]);
    for (let run = 0; run < 300; run += 1) {
      ratios.recordStart('catalog');
      ratios.recordEnd('catalog', 50);
    }
    expect(ratios.list('catalog').get('leaf')).to.be.below(0.1);
  });
});
