/** CONFIG: open connections to the store go silent, and nodes act on an old configuration long after. */
import { setTimeout as sleep } from 'node:timers/promises';
import { HOST, buildConfiguration, buildRoute } from '../lib/configuration.mjs';
import { createId, send } from '../lib/client.mjs';
import { Fleet } from '../lib/Fleet.mjs';
import { Instance } from '../lib/Instance.mjs';
import { Proxy } from '../lib/Proxy.mjs';
import { choosePorts } from '../lib/ports.mjs';
import { HAS_TROUBLE, runCase, waitUntil } from '../lib/run.mjs';
import { Store } from '../lib/Store.mjs';

const IPS = ['127.0.32.1', '127.0.32.2', '127.0.32.3'];
const SERVICES = ['alpha', 'alpha', 'beta'];
const KEPT_KEY = 'kq3xv7m2n8p4';
const WITHDRAWN_KEY = 'zw9tb5c1r6d0';

/** Bounds of the small sites, in milliseconds. */
const STABLE_WINDOW_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;

/** Time for which requests are sent after the acknowledgement, and the pause between two of them, in milliseconds. */
const WATCHED_MS = 12_000;
const PAUSE_MS = 250;

const OK = 200;
const UNAUTHORIZED = 401;

function buildVersion(version, keys) {
  return buildConfiguration({
    version,
    services: ['alpha', 'beta'],
    tenants: [{ name: 'traders', api_keys: keys, priority: 1, rate_per_s: 0, burst: 0 }],
    routes: [buildRoute('lots'), buildRoute('books', { service: 'beta', kind: 'unsafe' })],
  });
}

await runCase(import.meta.url, async ({ record, defer }) => {
  const store = new Store();
  await store.start();
  defer(() => store.dispose());
  const proxy = new Proxy(store.address);
  await proxy.start();
  defer(() => proxy.dispose());
  const ports = await choosePorts(IPS);
  const fleet = await Fleet.create();
  defer(() => fleet.dispose());
  const instances = IPS.map(
    (ip, index) =>
      new Instance({
        id: `i-${index}`,
        service: SERVICES[index],
        ip,
        port: ports.instance,
        store,
        record,
      }),
  );
  await Promise.all(instances.map((instance) => instance.open(defer)));
  store.put('op/config', buildVersion(1, [KEPT_KEY, WITHDRAWN_KEY]));
  const nodes = IPS.map((ip, index) =>
    fleet.add({ ip, service: SERVICES[index], ports, store: proxy.address }),
  );
  await Promise.all(nodes.map((node) => node.start()));
  const common = { virtualHost: HOST, path: '/lots/1' };
  await waitUntil('both keys are served', async () => {
    const answers = await Promise.all(
      nodes.flatMap((node) =>
        [KEPT_KEY, WITHDRAWN_KEY].map((key) => send(node.callerAddress, { ...common, key })),
      ),
    );
    return answers.every(({ status }) => status === OK);
  });
  // All nodes have begun to watch the store by then.
  await sleep(5_000);
  if (HAS_TROUBLE) {
    record(`${proxy.silence()} open connections to the store go silent; new ones work`);
  }
  await sleep(STABLE_WINDOW_MS + 1_000);
  store.put('op/config', buildVersion(2, [KEPT_KEY]));
  const ackMs = performance.now();
  record('version 2 is acknowledged: one key is withdrawn');
  const breaks = [];
  const requests = [];
  while (performance.now() - ackMs < WATCHED_MS) {
    nodes.forEach((node) => {
      const id = createId('withdrawn');
      const options = { ...common, id, key: WITHDRAWN_KEY };
      requests.push(
        send(node.callerAddress, options).then(({ status, error, sentMs }) => {
          const afterMs = sentMs - ackMs;
          const ran = instances.some(({ runs }) => runs.some((run) => run.id === id));
          const after = (afterMs / 1_000).toFixed(2);
          record(`${id} at ${node.ip}, sent ${after} s after: ${status ?? error}, ran: ${ran}`);
          if (afterMs > CONFIG_APPLY_MS && ran) {
            breaks.push(
              `${id} ran with a withdrawn key, sent ${after} s after the acknowledgement`,
            );
          }
          if (status !== OK && status !== UNAUTHORIZED) {
            record(`unexpected status of ${id}`);
          }
        }),
      );
    });
    await sleep(PAUSE_MS);
  }
  await Promise.all(requests);
  const kept = await send(nodes[0].callerAddress, { ...common, key: KEPT_KEY });
  record(`the other key at the end: ${kept.status}`);
  return breaks;
});
