// Servers leave while a machine's path to the store, which was cut, is just about to heal.
import {
  BackendServer,
  BOUNDS,
  GatewayProcess,
  getTimeMs,
  HAS_TROUBLE,
  makeConfig,
  makeRoute,
  Path,
  runCase,
  sendRequest,
  sleep,
  Store,
} from '../lib/stand-ins.mjs';

const ROUNDS = 14;
const MIN_CUT_MS = 2_500;
const MAX_CUT_MS = 3_500;
/** Time from the removal of a server's entry to the end of the cut. */
const REMOVAL_LEAD_MS = 50;
/** Time for which a server serves on beyond `DrainMs` after its entry is gone; `linger_ms` of the site. */
const LINGER_MS = 1_500;
const WORK_MS = 300;
const REQUEST_INTERVAL_MS = 25;
/** Time from the end of a cut to the next one. */
const CALM_MS = 4_200;

await runCase(import.meta.url, async (recorder, addCleanup) => {
  const store = new Store();
  await store.start();
  addCleanup(() => store.stop());
  const path = new Path(store.address);
  await path.start();
  addCleanup(() => path.stop());
  const runs = [];
  const addServer = async (index) => {
    const server = new BackendServer({
      ...{ id: `desk-${index}`, service: 'desk', recorder },
      respond: async (_request, _body, response, run) => {
        runs.push(run);
        await sleep(WORK_MS);
        response.writeHead(200, { 'Content-Length': 2 }).end('ok');
      },
    });
    await server.start();
    addCleanup(() => server.stop());
    store.put('servers', server.id, server.makeEntry());
    return server;
  };
  const servers = [];
  for (let index = 0; index < 3; index += 1) servers.push(await addServer(index));
  const route = makeRoute({
    ...{ Name: 'orders', pathPrefix: '/orders/', Type: 'non_idempotent', Service: 'desk' },
  });
  store.put('config', 'main', makeConfig(2, [route], ['desk']));
  const gateway = new GatewayProcess({ name: 'edge-1', storeAddress: path.address, recorder });
  await gateway.start();
  addCleanup(() => gateway.stop());
  await gateway.waitUntilReady();

  const results = new Map();
  const timer = setInterval(() => {
    void sendRequest({
      ...{ port: gateway.callerPort, recorder, path: '/orders/new', deadlineMs: 3_000 },
    }).then((result) => results.set(result.attemptId, result));
  }, REQUEST_INTERVAL_MS);
  addCleanup(() => clearInterval(timer));
  await sleep(BOUNDS.ContactMs);

  const findings = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    if (HAS_TROUBLE) {
      path.cut();
      recorder.add('cut       edge-1 from the store');
    }
    await sleep(MIN_CUT_MS + Math.random() * (MAX_CUT_MS - MIN_CUT_MS));
    const server = servers.shift();
    store.remove('servers', server.id);
    const removedAtMs = getTimeMs();
    recorder.add(`removed   ${server.id}`);
    const exitTimer = setTimeout(() => {
      server.stop();
      recorder.add(`exited    ${server.id}`);
    }, BOUNDS.DrainMs + LINGER_MS);
    addCleanup(() => clearTimeout(exitTimer));
    servers.push(await addServer(3 + round));
    await sleep(REMOVAL_LEAD_MS);
    path.heal();
    const healedAtMs = getTimeMs();
    recorder.add('healed    edge-1 and the store');
    await sleep(CALM_MS);
    const inTouchAtMs = HAS_TROUBLE ? healedAtMs + BOUNDS.ContactMs : 0;
    const late = runs.filter(
      ({ serverId, attemptId, arrivedAtMs }) =>
        serverId === server.id &&
        arrivedAtMs > removedAtMs + BOUNDS.DrainMs &&
        (results.get(attemptId)?.sentAtMs ?? 0) > inTouchAtMs,
    );
    if (late.length === 0) continue;
    const last = Math.max(...late.map(({ arrivedAtMs }) => arrivedAtMs));
    const lost = late.filter(({ attemptId }) => results.get(attemptId)?.status !== 200);
    findings.push(
      `round ${round}: ${late.length} orders reached ${server.id} up to ${Math.round(last - removedAtMs)} ms after ` +
        `its removal and ${Math.round(last - healedAtMs)} ms after the cut; ${lost.length} of them got no answer of it`,
    );
  }
  clearInterval(timer);
  await sleep(1_000);
  return findings;
});
