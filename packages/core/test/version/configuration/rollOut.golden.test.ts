import { expectGolden } from '../../support/expectGolden.js';
import { signSample } from './sampleBundles.js';
import { TrackerFleet } from './TrackerFleet.js';

describe('roll-out session', () => {
  it('guards against an unintended change of the frames and commands of nodes, from their start to conflicting roll-outs', async () => {
    const fleet = new TrackerFleet(9, 3);
    const note = (text: string): number => fleet.log.push(`# ${text}`);
    note('all nodes start, the service holds version 1');
    fleet.service = signSample(1);
    fleet.start();
    fleet.runFor(3_000);
    note('the service gets version 2');
    fleet.publish(signSample(2));
    fleet.runFor(3_000);
    note('the service fails, and a node restarts');
    fleet.service = undefined;
    fleet.start('vm-4');
    fleet.runFor(2_000);
    note('the service comes back with version 1, and another node restarts');
    fleet.publish(signSample(1));
    fleet.start('vm-5');
    fleet.runFor(2_000);
    note('two operators publish different bundles as version 3');
    fleet.publish(signSample(3, 700));
    fleet.run(
      'vm-3',
      fleet.nodes.get('vm-3')?.tracker.offerEnvelope(signSample(3, 800), fleet.nowMs) ?? [],
    );
    fleet.runFor(5_000);
    fleet.nodes.forEach(({ version }, name) => note(`${name} ends with version ${version}`));
    await expectGolden('rollOut', fleet.log);
  });
});
