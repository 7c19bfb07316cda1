/** @file What follows from suspicion: who succeeds, who gives up in order, how often, and how a handover is logged. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MoveLimiter } from '../src/suspicion/move-limiter';
import { rankCandidates, type Candidate } from '../src/suspicion/successor';
import { moveCount } from './fakes/ownership-history';
import { freezeFor, killFor, othersThan, playFault, SUSPICION_ON, type Fault } from './suspicion-steps';

const candidate = (node: string, fields: Partial<Candidate> = {}): Candidate => ({
  node,
  isSuspect: false,
  isOnProbation: false,
  wasHolder: false,
  blocks: 0,
  isUpgraded: true,
  ...fields,
});

const names = (candidates: readonly Candidate[]): string[] => candidates.map(({ node }) => node);

test('the order of successors is the same for all, whatever order they know them in, and spreads over controllers', () => {
  const nodes = ['a', 'b', 'c', 'd', 'e'].map((node) => candidate(node));
  const firsts = new Map<string, number>();
  for (let block = 0; block < 500; block += 1) {
    const order = names(rankCandidates(block, nodes));
    assert.deepEqual(names(rankCandidates(block, [...nodes].reverse())), order);
    firsts.set(order[0] ?? '', (firsts.get(order[0] ?? '') ?? 0) + 1);
    // Another controller that goes moves no block but its own.
    const without = nodes.filter(({ node }) => node !== order[4]);
    assert.deepEqual(names(rankCandidates(block, without)), order.slice(0, 4));
  }
  assert.ok([...firsts.values()].every((count) => count > 60 && count < 140));
});

test('a suspect comes last, even with fewer blocks; where all are suspects that is no reason', () => {
  const [healthy, suspect] = [candidate('a', { blocks: 5 }), candidate('b', { isSuspect: true })];
  assert.deepEqual(names(rankCandidates(0, [suspect, healthy])), ['a', 'b']);
  assert.deepEqual(names(rankCandidates(0, [suspect, { ...healthy, isSuspect: true }])), ['b', 'a']);
});

test('then count blocks, upgrades, probation, and who owned it last', () => {
  const order = [
    candidate('holder', { wasHolder: true }),
    candidate('returned', { isOnProbation: true }),
    candidate('old', { isUpgraded: false }),
    candidate('loaded', { blocks: 1 }),
    candidate('suspect', { isSuspect: true }),
  ];
  assert.deepEqual(names(rankCandidates(3, [...order].reverse())), names(order));
});

test('damping: moves of all blocks within a minute are bounded, and a block that moved stays for a while', () => {
  const moves = new MoveLimiter(3);
  moves.onOwner(0, 'a', 0);
  assert.ok(moves.allows(0, 0), 'the first owner that is seen is no move');
  moves.onOwner(0, 'b', 1_000);
  assert.ok(!moves.allows(0, 15_900));
  assert.ok(moves.allows(0, 16_000));
  moves.onOwner(0, 'b', 17_000);
  assert.ok(moves.allows(0, 17_000), 'the same owner again is no move');
  moves.onOwner(0, 'a', 20_000);
  moves.onOwner(0, 'b', 36_000);
  assert.ok(!moves.allows(1, 60_900), 'three within a minute, whatever the block');
  assert.ok(moves.allows(1, 61_000));
  assert.ok(!new MoveLimiter(0).allows(0, 0));
});

/** The owner stalls so often, short of its lease each time. */
function stallsAgainAndAgain(times: number, stallMs = 2_000): Fault {
  return async (play) => {
    const { world, owner } = play;
    for (let stall = 0; stall < times; stall += 1) {
      freezeFor(play, owner, stallMs);
      await world.clock.advance(stallMs + 3_000);
    }
    await world.clock.advance(5_000);
  };
}

test('an owner that stalls again and again hands over in order: well under a lease, and only once', async () => {
  const { history } = await playFault(stallsAgainAndAgain(3), { operator: SUSPICION_ON });
  assert.equal(moveCount(history), 1);
  const [before, after] = [...history.intervals].sort((a, b) => a.from - b.from);
  assert.ok(before && after);
  assert.ok(after.from - before.to < 1_000, `${after.from - before.to} ms without an owner`);
});

test('an owner that stalled less often keeps its block, and so does one with suspicion off', async () => {
  const fewer = await playFault(stallsAgainAndAgain(2), { operator: SUSPICION_ON });
  assert.equal(moveCount(fewer.history), 0);
  const off = await playFault(stallsAgainAndAgain(4), {});
  assert.equal(moveCount(off.history), 0);
});

test('all controllers stall again and again: nobody is better, so no block moves', async () => {
  const { history } = await playFault(
    async (play) => {
      const { world } = play;
      for (let stall = 0; stall < 4; stall += 1) {
        for (const index of world.controllers.keys()) freezeFor(play, index, 2_000);
        await world.clock.advance(5_000);
      }
    },
    { operator: SUSPICION_ON },
  );
  assert.equal(moveCount(history), 0);
});

test('controllers that take turns in stalling move no more blocks than the bound allows', async () => {
  const operator = { suspicion: { enabled: true, stalls: 1, moves_per_minute: 2 } };
  const { history } = await playFault(
    async (play) => {
      const { world } = play;
      for (let stall = 0; stall < 12; stall += 1) {
        freezeFor(play, await world.untilOwned(), 2_000);
        await world.clock.advance(5_000);
      }
    },
    { operator },
  );
  // A minute and a bit more.
  assert.ok(moveCount(history) >= 1 && moveCount(history) <= 3, `${moveCount(history)} moves`);
});

test('an owner that nobody hears gives its block up while it can, not by the end of its lease', async () => {
  const { history } = await playFault(
    async ({ world, owner }) => {
      const pairs = othersThan(world, owner).map((other) => `node-${owner}>node-${other}`);
      for (const pair of pairs) world.lostOneWay.add(pair);
      await world.clock.advance(15_000);
      assert.notEqual(world.owner, owner);
      for (const pair of pairs) world.lostOneWay.delete(pair);
    },
    { operator: SUSPICION_ON },
  );
  assert.equal(moveCount(history), 1);
});

test('a block whose chosen owner stalls before it has acquired it goes to another before that one has failed', async () => {
  const gapOf = async (operator: Record<string, unknown>): Promise<number> => {
    let killedAt = 0;
    const { history } = await playFault(
      async (play) => {
        const { world, owner } = play;
        const others = othersThan(world, owner);
        killedAt = world.clock.now();
        killFor(play, owner, 60_000);
        const chosen = (): number =>
          others.find((index) => {
            const record = world.state.data.get('live/block/0')?.data as { owner: string };
            return record.owner === `node-${index}` && !world.state.data.has('live/lease/0');
          }) ?? -1;
        for (let waited = 0; chosen() < 0 && waited < 8_000; waited += 1) await world.clock.advance(1);
        // Whoever leads goes on, so that the choice can be made anew.
        const successor = chosen();
        const leader = world.controllers.findIndex(
          ({ name }) =>
            name === (world.state.data.get('live/leader')?.data as { node: string } | undefined)?.node,
        );
        if (successor !== leader) freezeFor(play, successor, 8_000);
        await world.clock.advance(60_000);
      },
      { operator, controllers: 5 },
    );
    const next = history.intervals.find(({ from }) => from > killedAt + 100);
    return (next?.from ?? Infinity) - killedAt;
  };
  const [on, off] = [await gapOf(SUSPICION_ON), await gapOf({})];
  assert.ok(on <= 9_000, `${on} ms with suspicion, ${off} ms without`);
});

test('a handover is logged by its steps, each with its time', async () => {
  const steps: string[] = [];
  await playFault(
    async (play) => {
      const { world } = play;
      world.onLog = (_index, { step, atMs }, message) => {
        if (message === 'handover') {
          assert.equal(typeof atMs, 'number');
          steps.push(String(step));
        }
      };
      await stallsAgainAndAgain(3)(play);
      await world.clock.advance(5_000);
    },
    { operator: SUSPICION_ON },
  );
  assert.deepEqual(steps, [
    ...['stopped', 'drained', 'successor named'],
    ...['chosen', 'acquired', 'token drawn', 'workers confirmed', 'orphaned jobs placed'],
  ]);
});
