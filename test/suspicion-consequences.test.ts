/** @file Effects of suspicion: the choice of successors, planned handovers, the limit on moves and the log of a handover. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { PeerView } from '../src/protocol/peer-view';
import { isSuspectedByMajority } from '../src/suspicion/majority-suspicion';
import { MoveLimiter } from '../src/suspicion/move-limiter';
import { rankCandidates, type SuccessorCandidate } from '../src/suspicion/successor';
import { moveCount } from './fakes/ownership-history';
import {
  freezeFor,
  killFor,
  leaderIndex,
  otherControllers,
  runFaultScenario,
  SUSPICION_ON,
  type Fault,
} from './suspicion-steps';

const candidate = (controller: string, fields: Partial<SuccessorCandidate> = {}): SuccessorCandidate => ({
  controller,
  isSuspect: false,
  isOnProbation: false,
  wasLastOwner: false,
  shardCount: 0,
  isUpgraded: true,
  ...fields,
});

const controllerNames = (ranked: readonly SuccessorCandidate[]): string[] =>
  ranked.map(({ controller }) => controller);

test('the ranking of successors does not depend on the order of the input, and spreads shards over controllers', () => {
  const all = ['a', 'b', 'c', 'd', 'e'].map((controller) => candidate(controller));
  const firstPlaces = new Map<string, number>();
  for (let shard = 0; shard < 500; shard += 1) {
    const order = controllerNames(rankCandidates(shard, all));
    assert.deepEqual(controllerNames(rankCandidates(shard, [...all].reverse())), order);
    firstPlaces.set(order[0] ?? '', (firstPlaces.get(order[0] ?? '') ?? 0) + 1);
    // The ranking of the others stays the same when one candidate is gone.
    const remaining = all.filter(({ controller }) => controller !== order[4]);
    assert.deepEqual(controllerNames(rankCandidates(shard, remaining)), order.slice(0, 4));
  }
  assert.ok([...firstPlaces.values()].every((count) => count > 60 && count < 140));
});

test('a suspect is ranked last even with fewer shards; if all candidates are suspects, suspicion does not count', () => {
  const [healthy, suspect] = [candidate('a', { shardCount: 5 }), candidate('b', { isSuspect: true })];
  assert.deepEqual(controllerNames(rankCandidates(0, [suspect, healthy])), ['a', 'b']);
  assert.deepEqual(controllerNames(rankCandidates(0, [suspect, { ...healthy, isSuspect: true }])), [
    'b',
    'a',
  ]);
});

test('candidates are ranked by suspicion, shard count, version, probation and previous ownership, in this order', () => {
  const order = [
    candidate('holder', { wasLastOwner: true }),
    candidate('returned', { isOnProbation: true }),
    candidate('old', { isUpgraded: false }),
    candidate('loaded', { shardCount: 1 }),
    candidate('suspect', { isSuspect: true }),
  ];
  assert.deepEqual(controllerNames(rankCandidates(3, [...order].reverse())), controllerNames(order));
});

test('damping: moves of all shards per minute are limited, and a shard that moved does not move again for 15 s', () => {
  const moves = new MoveLimiter(3);
  moves.recordOwner(0, 'a', 0);
  assert.ok(moves.allowsMove(0, 0), 'the first recorded owner is not a move');
  moves.recordOwner(0, 'b', 1_000);
  assert.ok(!moves.allowsMove(0, 15_900));
  assert.ok(moves.allowsMove(0, 16_000));
  moves.recordOwner(0, 'b', 17_000);
  assert.ok(moves.allowsMove(0, 17_000), 'recording the same owner again is not a move');
  moves.recordOwner(0, 'a', 20_000);
  moves.recordOwner(0, 'b', 36_000);
  assert.ok(!moves.allowsMove(1, 60_900), 'three moves within a minute, of whichever shard');
  assert.ok(moves.allowsMove(1, 61_000));
  assert.ok(!new MoveLimiter(0).allowsMove(0, 0));
  // The cooldown does not apply to a shard whose lease is free.
  const recent = new MoveLimiter(2);
  recent.recordOwner(0, 'a', 0);
  recent.recordOwner(0, 'b', 1_000);
  assert.deepEqual([recent.allowsMove(0, 1_000), recent.allowsAnyMove(1_000)], [false, true]);
  recent.recordOwner(0, 'a', 2_000);
  assert.ok(!recent.allowsAnyMove(2_000));
});

/** The owner stalls this many times, each time for less than its lease. */
function ownerStallsRepeatedly(times: number, stallMs = 2_000): Fault {
  return async (scenario) => {
    const { cluster, owner } = scenario;
    for (let stall = 0; stall < times; stall += 1) {
      freezeFor(scenario, owner, stallMs);
      await cluster.clock.advance(stallMs + 3_000);
    }
    await cluster.clock.advance(5_000);
  };
}

test('an owner that stalls repeatedly hands its shard over once, with less than 1 s without an owner', async () => {
  const { history } = await runFaultScenario(ownerStallsRepeatedly(3), { operator: SUSPICION_ON });
  assert.equal(moveCount(history), 1);
  const [before, after] = [...history.intervals].sort((a, b) => a.from - b.from);
  assert.ok(before && after);
  assert.ok(after.from - before.to < 1_000, `${after.from - before.to} ms without an owner`);
});

test('an owner that stalls too few times, or with suspicion off, keeps its shard', async () => {
  const fewer = await runFaultScenario(ownerStallsRepeatedly(2), { operator: SUSPICION_ON });
  assert.equal(moveCount(fewer.history), 0);
  const off = await runFaultScenario(ownerStallsRepeatedly(4), {});
  assert.equal(moveCount(off.history), 0);
});

test('all controllers stall repeatedly: no candidate is better, so no shard moves', async () => {
  const { history } = await runFaultScenario(
    async (scenario) => {
      const { cluster } = scenario;
      for (let stall = 0; stall < 4; stall += 1) {
        for (const index of cluster.controllers.keys()) freezeFor(scenario, index, 2_000);
        await cluster.clock.advance(5_000);
      }
    },
    { operator: SUSPICION_ON },
  );
  assert.equal(moveCount(history), 0);
});

test('controllers that stall one after another cause no more moves than the limit allows', async () => {
  const operator = { suspicion: { enabled: true, stalls: 1, moves_per_minute: 2 } };
  const { history } = await runFaultScenario(
    async (scenario) => {
      const { cluster } = scenario;
      for (let stall = 0; stall < 12; stall += 1) {
        freezeFor(scenario, await cluster.untilOwned(), 2_000);
        await cluster.clock.advance(5_000);
      }
    },
    { operator },
  );
  // The limit is two moves per minute; the scenario lasts slightly longer than a minute.
  assert.ok(moveCount(history) >= 1 && moveCount(history) <= 3, `${moveCount(history)} moves`);
});

test('an owner whose messages reach no peer hands its shard over before its lease expires', async () => {
  const { history } = await runFaultScenario(
    async ({ cluster, owner }) => {
      const pairs = otherControllers(cluster, owner).map((other) => `node-${owner}>node-${other}`);
      for (const pair of pairs) cluster.oneWayLostPairs.add(pair);
      await cluster.clock.advance(15_000);
      assert.notEqual(cluster.owner, owner);
      for (const pair of pairs) cluster.oneWayLostPairs.delete(pair);
    },
    { operator: SUSPICION_ON },
  );
  assert.equal(moveCount(history), 1);
});

/** The owner of shard 1 dies, and its chosen successor stalls while that choice is written. */
const chosenOwnerStalls: Fault = async (scenario) => {
  const { cluster } = scenario;
  const ownerOfShard1 = cluster.controllers.findIndex(({ controller }) => controller.owners.has(1));
  assert.ok(ownerOfShard1 >= 0 && ownerOfShard1 !== leaderIndex(cluster));
  killFor(scenario, ownerOfShard1, 60_000);
  let chosenIndex = -1;
  cluster.network.rule(({ path, body }) => {
    if (chosenIndex >= 0 || path !== '/txn') return undefined;
    const { apply } = body as { apply: { set?: string; data?: { owner?: string } }[] };
    const owner = apply.find(({ set }) => set === 'live/block/1')?.data?.owner;
    chosenIndex = cluster.controllers.findIndex(({ name, alive }) => alive && name === owner);
    if (chosenIndex >= 0) freezeFor(scenario, chosenIndex, 12_000);
    return undefined;
  });
  await cluster.until('a successor is chosen', () => chosenIndex >= 0, 10);
  assert.notEqual(chosenIndex, leaderIndex(cluster));
  await cluster.clock.advance(60_000);
};

test('a shard whose chosen owner stalls before acquiring it is reassigned once that controller is suspected', async () => {
  const unownedMs = async (operator: Record<string, unknown>): Promise<number> => {
    const { history } = await runFaultScenario(chosenOwnerStalls, {
      operator: { ...operator, blocks: 2 },
      controllers: 5,
    });
    const [before, after] = history.intervals
      .filter(({ shard }) => shard === 1)
      .sort((a, b) => a.from - b.from);
    return (after?.from ?? Infinity) - (before?.to ?? 0);
  };
  const [on, off] = [await unownedMs(SUSPICION_ON), await unownedMs({})];
  assert.ok(on <= off - 1_000, `${on} ms without an owner with suspicion, ${off} ms without`);
});

test('a handover logs each step with its time', async () => {
  const steps: string[] = [];
  await runFaultScenario(
    async (scenario) => {
      const { cluster } = scenario;
      cluster.onLog = (_index, { step, atMs }, message) => {
        if (message === 'handover') {
          assert.equal(typeof atMs, 'number');
          steps.push(String(step));
        }
      };
      await ownerStallsRepeatedly(3)(scenario);
      await cluster.clock.advance(5_000);
    },
    { operator: SUSPICION_ON },
  );
  assert.deepEqual(steps, [
    ...['stopped', 'drained', 'successor named'],
    ...['chosen', 'acquired', 'token drawn', 'workers confirmed', 'orphaned jobs placed'],
  ]);
});

test('the suspicion of one controller is not a majority, even if other controllers are down or stalled', () => {
  const subject = { controller: 'a', sessionEpoch: 5 };
  const suspectingView = (fields: Partial<PeerView> = {}, run = 5): PeerView => ({
    run: 9,
    incarnation: 0,
    isStalled: false,
    ...fields,
    opinions: [
      {
        ...({ node: 'a', status: 'suspected', reason: 'no heartbeat', forMs: 1, incarnation: 0 } as const),
        run,
        heardMsAgo: 3_000,
      },
    ],
  });
  const isSuspected = (views: Record<string, PeerView>, others: number): boolean =>
    isSuspectedByMajority(subject, new Map(Object.entries(views)), others);
  assert.equal(isSuspected({ b: suspectingView(), c: suspectingView() }, 2), true);
  assert.equal(isSuspected({ b: suspectingView() }, 2), false);
  assert.equal(isSuspected({ b: suspectingView(), c: suspectingView() }, 4), false);
  assert.equal(isSuspected({ b: suspectingView(), c: suspectingView({ isStalled: true }) }, 2), false);
  assert.equal(
    isSuspected({ b: suspectingView(), c: suspectingView({}, 4) }, 2),
    false,
    'an opinion about an earlier session',
  );
});
