/** @file Controllers cut from each other, from the state service or from workers, one way or both: one owner at a time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { moveCount } from './fakes/ownership-history';
import {
  partitionFrom,
  otherControllers,
  partitionGroups,
  runFaultScenario,
  SUSPICION_OFF,
  SUSPICION_ON,
  submitAndCancelDuring,
  type Fault,
  type Connection,
} from './suspicion-steps';

const CUT_MS = 20_000;

/** Where the state service is while two groups of controllers don't hear each other. */
type StateSide = 'the side of the owner' | 'the other side' | 'both sides' | 'neither side';

/** The controllers part into the owner's group and the rest; each side suspects the other. */
function split(withOwner: number, stateSide: StateSide): Fault {
  return async (play) => {
    const { cluster, owner, history } = play;
    const others = otherControllers(cluster, owner);
    const left = [owner, ...others.slice(0, withOwner - 1)];
    const right = others.slice(withOwner - 1);
    const heals = [partitionGroups(cluster, left, right)];
    const isOwnerCut = stateSide === 'the other side' || stateSide === 'neither side';
    const areOthersCut = stateSide === 'the side of the owner' || stateSide === 'neither side';
    const cut = [...(isOwnerCut ? left : []), ...(areOthersCut ? right : [])];
    for (const index of cut) heals.push(partitionFrom(cluster, index, ['state']));
    if (stateSide === 'the other side') history.recordControllerFailure(owner);
    const reader = isOwnerCut ? right[0] : owner;
    if (stateSide !== 'neither side') await submitAndCancelDuring(cluster, reader ?? 0);
    await cluster.clock.advance(CUT_MS);
    for (const heal of heals) heal();
    if (stateSide === 'neither side') await submitAndCancelDuring(cluster, owner);
  };
}

/** The owner is cut from some of its surroundings alone. */
function ownerCutFrom(...what: Connection[]): Fault {
  return async (play) => {
    const { cluster, owner, history } = play;
    if (what.includes('state')) history.recordControllerFailure(owner);
    const heal = partitionFrom(cluster, owner, what);
    await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
    await cluster.clock.advance(CUT_MS);
    heal();
  };
}

/** What one controller tells another is lost, while the other way works. */
function lostOneWay(
  pairsOf: (owner: number, others: readonly number[]) => [from: number, to: number][],
): Fault {
  return async ({ cluster, owner }) => {
    const pairs = pairsOf(owner, otherControllers(cluster, owner)).map(
      ([from, to]) => `node-${from}>node-${to}`,
    );
    for (const pair of pairs) cluster.oneWayLostPairs.add(pair);
    await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
    await cluster.clock.advance(CUT_MS);
    for (const pair of pairs) cluster.oneWayLostPairs.delete(pair);
  };
}

// With the state service on neither side every lease ends: who is back first afterwards may own the shard.
const SIDES = ['the side of the owner', 'the other side', 'both sides', 'neither side'] as const;

const scenarios: { title: string; controllers?: number; fault: Fault; maxMoves: number }[] = [
  ...SIDES.map((side) => ({
    title: `a split of three controllers, the state service on ${side}`,
    fault: split(1, side),
    maxMoves: side === 'the other side' || side === 'neither side' ? 1 : 0,
  })),
  ...SIDES.map((side) => ({
    title: `a split of five controllers, two of them with the owner, the state service on ${side}`,
    controllers: 5,
    fault: split(2, side),
    maxMoves: side === 'the other side' || side === 'neither side' ? 1 : 0,
  })),
  { title: 'the owner is cut from its peers only', fault: ownerCutFrom('peers'), maxMoves: 0 },
  { title: 'the owner is cut from its workers only', fault: ownerCutFrom('workers'), maxMoves: 2 },
  { title: 'the owner is cut from the state service only', fault: ownerCutFrom('state'), maxMoves: 1 },
  {
    title: 'the owner is cut from peers and state service',
    fault: ownerCutFrom('peers', 'state'),
    maxMoves: 1,
  },
  {
    title: 'one controller does not hear the owner, the other does',
    fault: lostOneWay((owner, [first = 0]) => [[owner, first]]),
    maxMoves: 0,
  },
  {
    title: 'the owner does not hear one controller',
    fault: lostOneWay((owner, [first = 0]) => [[first, owner]]),
    maxMoves: 0,
  },
  {
    title: 'nobody hears the owner, which hears all',
    fault: lostOneWay((owner, others) => others.map((other) => [owner, other])),
    maxMoves: 1,
  },
  {
    title: 'the owner hears nobody, and is heard by all',
    fault: lostOneWay((owner, others) => others.map((other) => [other, owner])),
    maxMoves: 0,
  },
];

for (const [name, operator] of [
  ['on', SUSPICION_ON],
  ['off', SUSPICION_OFF],
] as const) {
  for (const { title, controllers, fault, maxMoves } of scenarios) {
    test(`${title}; suspicion ${name}`, async () => {
      const { history } = await runFaultScenario(fault, { controllers, operator });
      assert.ok(moveCount(history) <= maxMoves, `${moveCount(history)} moves of the shard`);
    });
  }
}
