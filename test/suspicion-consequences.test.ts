/** @file What follows from suspicion: who succeeds, who gives up in order, how often, and how a handover is logged. */
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

const names = (candidates: readonly SuccessorCandidate[]): string[] =>
  candidates.map(({ controller }) => controller);

test('the order of successors is the same for all, whatever order they know them in, and spreads over controllers', () => {
  const nodes = ['a', 'b', 'c', 'd', 'e'].map((controller) => candidate(controller));
  const firsts = new Map<string, number>();
  for (let shard = 0; shard < 500; shard += 1) {
    const order = names(rankCandidates(shard, nodes));
    assert.deepEqual(names(rankCandidates(shard, [...nodes].reverse())), order);
    firsts.set(order[0] ?? '', (firsts.get(order[0] ?? '') ?? 0) + 1);
    // Another controller that goes moves no shard but its own.
    const without = nodes.filter(({ controller }) => controller !== order[4]);
    assert.deepEqual(names(rankCandidates(shard, without)), order.slice(0, 4));
  }
  assert.ok([...firsts.values()].every((count) => count > 60 && count < 140));
});

test('a suspect comes last, even with fewer shards; where all are suspects that is no reason', () => {
  const [healthy, suspect] = [candidate('a', { shardCount: 5 }), candidate('b', { isSuspect: true })];
  assert.deepEqual(names(rankCandidates(0, [suspect, healthy])), ['a', 'b']);
  assert.deepEqual(names(rankCandidates(0, [suspect, { ...healthy, isSuspect: true }])), ['b', 'a']);
});

test('then count shards, upgrades, probation, and who owned it last', () => {
  const order = [
    candidate('holder', { wasLastOwner: true }),
    candidate('returned', { isOnProbation: true }),
    candidate('old', { isUpgraded: false }),
    candidate('loaded', { shardCount: 1 }),
    candidate('suspect', { isSuspect: true }),
  ];
  assert.deepEqual(names(rankCandidates(3, [...order].reverse())), names(order));
});

test('damping: moves of all shards within a minute are bounded, and a shard that moved stays for a while', () => {
  const moves = new MoveLimiter(3);
  moves.recordOwner(0, 'a', 0);
  assert.ok(moves.allowsMove(0, 0), 'the first owner that is seen is no move');
  moves.recordOwner(0, 'b', 1_000);
  assert.ok(!moves.allowsMove(0, 15_900));
  assert.ok(moves.allowsMove(0, 16_000));
  moves.recordOwner(0, 'b', 17_000);
  assert.ok(moves.allowsMove(0, 17_000), 'the same owner again is no move');
  moves.recordOwner(0, 'a', 20_000);
  moves.recordOwner(0, 'b', 36_000);
  assert.ok(!moves.allowsMove(1, 60_900), 'three within a minute, whatever the shard');
  assert.ok(moves.allowsMove(1, 61_000));
  assert.ok(!new MoveLimiter(0).allowsMove(0, 0));
  // One that nobody holds needs no time to settle.
  const recent = new MoveLimiter(2);
  recent.recordOwner(0, 'a', 0);
  recent.recordOwner(0, 'b', 1_000);
  assert.deepEqual([recent.allowsMove(0, 1_000), recent.allowsAnyMove(1_000)], [false, true]);
  recent.recordOwner(0, 'a', 2_000);
  assert.ok(!recent.allowsAnyMove(2_000));
});

/** The owner stalls so often, short of its lease each time. */
function stallsAgainAndAgain(times: number, stallMs = 2_000): Fault {
  return async (play) => {
    const { cluster, owner } = play;
    for (let stall = 0; stall < times; stall += 1) {
      freezeFor(play, owner, stallMs);
      await cluster.clock.advance(stallMs + 3_000);
    }
    await cluster.clock.advance(5_000);
  };
}

test('an owner that stalls again and again hands over in order: well under a lease, and only once', async () => {
  const { history } = await runFaultScenario(stallsAgainAndAgain(3), { operator: SUSPICION_ON });
  assert.equal(moveCount(history), 1);
  const [before, after] = [...history.intervals].sort((a, b) => a.from - b.from);
  assert.ok(before && after);
  assert.ok(after.from - before.to < 1_000, `${after.from - before.to} ms without an owner`);
});

test('an owner that stalled less often keeps its shard, and so does one with suspicion off', async () => {
  const fewer = await runFaultScenario(stallsAgainAndAgain(2), { operator: SUSPICION_ON });
  assert.equal(moveCount(fewer.history), 0);
  const off = await runFaultScenario(stallsAgainAndAgain(4), {});
  assert.equal(moveCount(off.history), 0);
});

test('all controllers stall again and again: nobody is better, so no shard moves', async () => {
  const { history } = await runFaultScenario(
    async (play) => {
      const { cluster } = play;
      for (let stall = 0; stall < 4; stall += 1) {
        for (const index of cluster.controllers.keys()) freezeFor(play, index, 2_000);
        await cluster.clock.advance(5_000);
      }
    },
    { operator: SUSPICION_ON },
  );
  assert.equal(moveCount(history), 0);
});

test('controllers that take turns in stalling move no more shards than the bound allows', async () => {
  const operator = { suspicion: { enabled: true, stalls: 1, moves_per_minute: 2 } };
  const { history } = await runFaultScenario(
    async (play) => {
      const { cluster } = play;
      for (let stall = 0; stall < 12; stall += 1) {
        freezeFor(play, await cluster.untilOwned(), 2_000);
        await cluster.clock.advance(5_000);
      }
    },
    { operator },
  );
  // A minute and a bit more.
  assert.ok(moveCount(history) >= 1 && moveCount(history) <= 3, `${moveCount(history)} moves`);
});

test('an owner that nobody hears gives its shard up while it can, not by the end of its lease', async () => {
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

/** The owner of the second shard dies, and whoever is chosen for it stalls as the choice is written. */
const chosenOwnerStalls: Fault = async (play) => {
  const { cluster } = play;
  const second = cluster.controllers.findIndex(({ controller }) => controller.owners.has(1));
  assert.ok(second >= 0 && second !== leaderIndex(cluster));
  killFor(play, second, 60_000);
  let chosen = -1;
  cluster.network.rule(({ path, body }) => {
    if (chosen >= 0 || path !== '/txn') return undefined;
    const { apply } = body as { apply: { set?: string; data?: { owner?: string } }[] };
    const owner = apply.find(({ set }) => set === 'live/block/1')?.data?.owner;
    chosen = cluster.controllers.findIndex(({ name, alive }) => alive && name === owner);
    if (chosen >= 0) freezeFor(play, chosen, 12_000);
    return undefined;
  });
  await cluster.until('another is chosen', () => chosen >= 0, 10);
  assert.notEqual(chosen, leaderIndex(cluster));
  await cluster.clock.advance(60_000);
};

test('a shard whose chosen owner stalls before it has acquired it goes to another once that one is suspected', async () => {
  const gapOf = async (operator: Record<string, unknown>): Promise<number> => {
    const { history } = await runFaultScenario(chosenOwnerStalls, {
      operator: { ...operator, blocks: 2 },
      controllers: 5,
    });
    const [before, after] = history.intervals
      .filter(({ shard }) => shard === 1)
      .sort((a, b) => a.from - b.from);
    return (after?.from ?? Infinity) - (before?.to ?? 0);
  };
  const [on, off] = [await gapOf(SUSPICION_ON), await gapOf({})];
  assert.ok(on <= off - 1_000, `${on} ms without an owner with suspicion, ${off} ms without`);
});

test('a handover is logged by its steps, each with its time', async () => {
  const steps: string[] = [];
  await runFaultScenario(
    async (play) => {
      const { cluster } = play;
      cluster.onLog = (_index, { step, atMs }, message) => {
        if (message === 'handover') {
          assert.equal(typeof atMs, 'number');
          steps.push(String(step));
        }
      };
      await stallsAgainAndAgain(3)(play);
      await cluster.clock.advance(5_000);
    },
    { operator: SUSPICION_ON },
  );
  assert.deepEqual(steps, [
    ...['stopped', 'drained', 'successor named'],
    ...['chosen', 'acquired', 'token drawn', 'workers confirmed', 'orphaned jobs placed'],
  ]);
});

test('the suspicion of one controller of several is not that of most, whoever else is away or stalled', () => {
  const subject = { controller: 'a', sessionEpoch: 5 };
  const suspects = (fields: Partial<PeerView> = {}, run = 5): PeerView => ({
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
  assert.equal(isSuspected({ b: suspects(), c: suspects() }, 2), true);
  assert.equal(isSuspected({ b: suspects() }, 2), false);
  assert.equal(isSuspected({ b: suspects(), c: suspects() }, 4), false);
  assert.equal(isSuspected({ b: suspects(), c: suspects({ isStalled: true }) }, 2), false);
  assert.equal(isSuspected({ b: suspects(), c: suspects({}, 4) }, 2), false, 'that was an earlier run');
});
