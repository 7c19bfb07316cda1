/**
 * @file The guards by which no task runs twice when the lease of an unreachable machine's worker expires: what the owner
 * does with records of relays that it knows, that it doesn't know yet, and that it can't read.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { dropReleaseRequests } from './failover-steps';
import { tasksOf } from './fault-steps';
import { STORE_ADDRESS } from './fakes/controller-settings';
import type { Request } from './fakes/network';
import { SimulatedCluster } from './fakes/simulated-cluster';

const LEASE_MS = 10_000;
/** After this long, an owner without news of a relay takes the lease of a silent worker for expired. */
const EXPIRY_MS = LEASE_MS * 1.002 + 500;
/** A watch that is open when its successors begin to get lost still brings changes for up to this long. */
const OPEN_WATCH_MS = 1_100;
/** Less than the timeout of the owner's requests. */
const CHECK_DELAY_MS = 1_300;
const NEWS_DELAY_MS = 2_000;

interface BusyCluster {
  readonly cluster: SimulatedCluster;
  readonly owner: number;
  /** The controller that can relay leases. */
  readonly relay: number;
}

/** Eight machines with two long tasks each, and idle ones with room for all of these tasks once more. */
async function busyCluster(): Promise<BusyCluster> {
  const cluster = new SimulatedCluster();
  await cluster.submit('req-1', { pieces: 16, cpus: 2, reckonS: 300 }, 300);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length === 16);
  for (let count = 0; count < 8; count += 1) cluster.addWorker('b');
  await cluster.clock.advance(13_000);
  dropReleaseRequests(cluster);
  const { owner } = cluster;
  return { cluster, owner, relay: (owner + 1) % 3 };
}

function latestLeaseStart({ cluster, owner }: BusyCluster, machine: string): number {
  const known = cluster.controllers[owner]?.controller.owners.get(0)?.machines.get(machine);
  assert.ok(known);
  return known.latestLeaseStart;
}

const busyMachines = (cluster: SimulatedCluster): string[] => [
  ...new Set(cluster.runningTasks.map((task) => cluster.machineOf(task) ?? '')),
];

async function advanceTo(cluster: SimulatedCluster, at: number): Promise<void> {
  await cluster.clock.advance(at - cluster.clock.now());
}

/** Loses the watches of the owner from now on, so that it learns of no relay record. Returns the end of the fault. */
function loseWatches({ cluster, owner }: BusyCluster): () => void {
  const name = `node-${owner}`;
  return cluster.network.rule(({ from, path }) =>
    from === name && path.startsWith('/changes') ? 'lose' : undefined,
  );
}

/** Sends a heartbeat of the machine to the relay, as the machine would; the relay must renew the lease. */
async function renewAtRelay({ cluster, relay }: BusyCluster, machine: string): Promise<void> {
  const { status } = await cluster.request(relay, 'POST', '/hello', cluster.worker(machine).nextHeartbeat());
  assert.equal(status, 200, 'the relay renews the lease');
}

const startedElsewhere = (cluster: SimulatedCluster, machine: string, tasks: readonly string[]): string[] =>
  [...cluster.workers.values()]
    .filter(({ id }) => id !== machine)
    .flatMap((worker) =>
      worker.startCommands.filter((start) => tasks.some((task) => start.startsWith(`${task}#`))),
    );

const tasksOn = (cluster: SimulatedCluster, machine: string): string[] =>
  tasksOf(cluster, 'req-1').filter((task) => cluster.machineOf(task) === machine);

// Fails if attempts are dropped without the transaction that compares the relay records, or without its conditions.
test('an owner that has not seen a new relay record starts no task of the relayed machine elsewhere', async () => {
  const busy = await busyCluster();
  const { cluster, owner } = busy;
  const [machine = ''] = busyMachines(cluster);
  const tasks = tasksOn(cluster, machine);
  cluster.isolateWorker(machine);
  const leaseStart = latestLeaseStart(busy, machine);
  await advanceTo(cluster, leaseStart + 6_000);
  cluster.isolateFromPeers(owner);
  await advanceTo(cluster, leaseStart + LEASE_MS - 300 - OPEN_WATCH_MS);
  loseWatches(busy);
  await advanceTo(cluster, leaseStart + LEASE_MS - 300);
  await renewAtRelay(busy, machine);
  const renewedAt = cluster.clock.now();
  assert.ok(renewedAt < leaseStart + EXPIRY_MS, 'the owner has not dropped the attempts yet');
  await advanceTo(cluster, leaseStart + EXPIRY_MS + 1_500);
  assert.equal(cluster.owner, owner);
  assert.deepEqual(startedElsewhere(cluster, machine, tasks), []);
});

// Fails if the owner doesn't wait until its watch cache includes the changes before the check.
test('an owner that has not seen a relay come and go starts no task of the relayed machine elsewhere', async () => {
  const busy = await busyCluster();
  const { cluster, owner, relay } = busy;
  const [machine = ''] = busyMachines(cluster);
  const tasks = tasksOn(cluster, machine);
  cluster.isolateWorker(machine);
  const leaseStart = latestLeaseStart(busy, machine);
  await advanceTo(cluster, leaseStart + 6_000);
  const reconnectPeers = cluster.isolateFromPeers(owner);
  await advanceTo(cluster, leaseStart + LEASE_MS - 700 - OPEN_WATCH_MS);
  const restoreWatches = loseWatches(busy);
  await advanceTo(cluster, leaseStart + LEASE_MS - 700);
  await renewAtRelay(busy, machine);
  const renewedAt = cluster.clock.now();
  cluster.kill(relay);
  // The next process ends the session of the killed one, and the relay record with it.
  cluster.restart(relay);
  const recordKey = `live/keep/0/node-${relay}`;
  await cluster.until('the record is gone', () => !cluster.store.data.has(recordKey), 3);
  assert.ok(cluster.clock.now() < leaseStart + EXPIRY_MS, 'the owner has not dropped the attempts yet');
  await advanceTo(cluster, leaseStart + EXPIRY_MS + 400);
  restoreWatches();
  reconnectPeers();
  await advanceTo(cluster, renewedAt + LEASE_MS - 100);
  assert.equal(cluster.owner, owner);
  assert.deepEqual(startedElsewhere(cluster, machine, tasks), []);
  await cluster.until('they run elsewhere', () => startedElsewhere(cluster, machine, tasks).length === 2, 15);
});

// Fails if the leases that expire while the check is in flight are dropped, too.
test('a lease that expires while the check of the relay records is in flight is not taken for expired', async () => {
  const busy = await busyCluster();
  const { cluster, owner } = busy;
  const machines = busyMachines(cluster);
  const [first = ''] = machines;
  const firstTasks = tasksOn(cluster, first);
  cluster.isolateWorker(first);
  const firstStart = latestLeaseStart(busy, first);
  await advanceTo(cluster, firstStart + 1_200);
  const second = machines.find((id) => {
    const sinceFirst = latestLeaseStart(busy, id) - firstStart;
    return sinceFirst > 800 && sinceFirst < 1_150;
  });
  assert.ok(second !== undefined, 'a heartbeat of another machine was answered at the right time');
  cluster.isolateWorker(second);
  const tasks = tasksOn(cluster, second);
  const secondStart = latestLeaseStart(busy, second);
  await advanceTo(cluster, firstStart + 6_000);
  cluster.isolateFromPeers(owner);
  await advanceTo(cluster, firstStart + 9_000);
  const checkedAt = delayNextCheck(cluster, owner);
  await cluster.until('the relay records are checked', () => checkedAt() !== undefined, 3);
  await renewAtRelay(busy, second);
  assert.ok(cluster.clock.now() < secondStart + EXPIRY_MS, 'the second lease has not expired yet');
  await advanceTo(cluster, (checkedAt() ?? 0) + 2_000);
  assert.ok(cluster.clock.now() > secondStart + EXPIRY_MS);
  assert.equal(cluster.owner, owner);
  assert.deepEqual(startedElsewhere(cluster, second, tasks), []);
  assert.equal(
    startedElsewhere(cluster, first, firstTasks).length,
    2,
    'those of the first machine run elsewhere',
  );
});

/**
 * Delays the response to the owner's next check of the relay records, and for longer the news of a relay record. Returns
 * the time at which the check was executed, once it was.
 */
function delayNextCheck(cluster: SimulatedCluster, owner: number): () => number | undefined {
  let checkedAt: number | undefined;
  cluster.network.attach(STORE_ADDRESS, async (request) => {
    const response = await cluster.store.handle(request);
    if (request.from !== `node-${owner}`) return response;
    if (checkedAt === undefined && isRelayCheck(request)) {
      assert.equal(response.status, 200);
      checkedAt = cluster.clock.now();
      await cluster.clock.sleep(CHECK_DELAY_MS);
    } else if (request.path.startsWith('/changes') && JSON.stringify(response.body).includes('live/keep/')) {
      await cluster.clock.sleep(NEWS_DELAY_MS);
    }
    return response;
  });
  return () => checkedAt;
}

function isRelayCheck({ path, body }: Request): boolean {
  if (path !== '/txn') return false;
  const { apply = [], guards = [] } = body as { apply?: unknown[]; guards?: { path: string }[] };
  return apply.length === 0 && guards.some((guard) => guard.path.startsWith('live/keep/'));
}

// Fails if a record without a list, as the production version writes it, counts as a record of no machine.
test('a relay record without a list of machines keeps the leases of all machines', async () => {
  const busy = await busyCluster();
  const { cluster, relay } = busy;
  const key = `live/keep/0/node-${relay}`;
  // The killed controller doesn't delete the record.
  cluster.kill(relay);
  await cluster.clock.advance(8_000);
  await change(cluster, { set: key, data: {} });
  const [machine = ''] = busyMachines(cluster);
  const tasks = tasksOn(cluster, machine);
  cluster.worker(machine).terminate();
  await cluster.clock.advance(25_000);
  assert.deepEqual(startedElsewhere(cluster, machine, tasks), []);
  await change(cluster, { delete: key });
  await cluster.until(
    'the tasks run elsewhere',
    () => startedElsewhere(cluster, machine, tasks).length === 2,
    20,
  );
  cluster.assertInvariants();
});

async function change(cluster: SimulatedCluster, applied: Record<string, unknown>): Promise<void> {
  const request = {
    from: 'test',
    to: STORE_ADDRESS,
    method: 'POST',
    path: '/txn',
    body: { guards: [], apply: [applied] },
  };
  const { status } = await cluster.store.handle(request);
  assert.equal(status, 200);
}

// Fails if a machine that a record no longer lists counts as renewed only at the last look at the earlier list.
test('when a relay record changes, the leases of the machines that it listed count as renewed at that time', async () => {
  const { cluster, owner, relay } = await busyCluster();
  const shard = cluster.controllers[owner]?.controller.owners.get(0);
  const [listed = '', other = ''] = busyMachines(cluster);
  const machines = [listed, other].map((id) => shard?.machines.get(id));
  // Between two heartbeats, so that the last responses are in the past.
  await cluster.clock.advance(50);
  const before = machines.map((machine) => machine?.latestLeaseStart);
  const record = {
    key: `live/keep/0/node-${relay}`,
    version: 10 ** 6,
    deleted: false,
    value: { machines: [] },
  };
  shard?.onChange(record, { machines: [listed] });
  assert.deepEqual(
    machines.map((machine) => machine?.latestLeaseStart),
    [cluster.clock.now(), before[1]],
  );
});
