/** @file Controllers partitioned from each other, the state service or workers: one owner at a time. */
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

const PARTITION_MS = 20_000;

/** The side of the state service while two groups of controllers are partitioned from each other. */
type StateServiceSide = 'the side of the owner' | 'the other side' | 'both sides' | 'neither side';

/** The owner's group of controllers is partitioned from the rest; each side suspects the other. */
function partitionControllers(ownerSideSize: number, stateServiceSide: StateServiceSide): Fault {
  return async (scenario) => {
    const { cluster, owner, history } = scenario;
    const others = otherControllers(cluster, owner);
    const left = [owner, ...others.slice(0, ownerSideSize - 1)];
    const right = others.slice(ownerSideSize - 1);
    const endPartitions = [partitionGroups(cluster, left, right)];
    const isOwnerWithoutState = stateServiceSide === 'the other side' || stateServiceSide === 'neither side';
    const areOthersWithoutState =
      stateServiceSide === 'the side of the owner' || stateServiceSide === 'neither side';
    const withoutState = [...(isOwnerWithoutState ? left : []), ...(areOthersWithoutState ? right : [])];
    for (const index of withoutState) endPartitions.push(partitionFrom(cluster, index, ['state']));
    if (stateServiceSide === 'the other side') history.recordControllerFailure(owner);
    const reader = isOwnerWithoutState ? right[0] : owner;
    if (stateServiceSide !== 'neither side') await submitAndCancelDuring(cluster, reader ?? 0);
    await cluster.clock.advance(PARTITION_MS);
    for (const endPartition of endPartitions) endPartition();
    if (stateServiceSide === 'neither side') await submitAndCancelDuring(cluster, owner);
  };
}

/** The owner is partitioned from these connections only. */
function ownerPartitionedFrom(...what: Connection[]): Fault {
  return async (scenario) => {
    const { cluster, owner, history } = scenario;
    if (what.includes('state')) history.recordControllerFailure(owner);
    const endPartition = partitionFrom(cluster, owner, what);
    await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
    await cluster.clock.advance(PARTITION_MS);
    endPartition();
  };
}

/** Messages from one controller to another are lost, while those in the other direction arrive. */
function oneWayLoss(
  pairsOf: (owner: number, others: readonly number[]) => [from: number, to: number][],
): Fault {
  return async ({ cluster, owner }) => {
    const pairs = pairsOf(owner, otherControllers(cluster, owner)).map(
      ([from, to]) => `node-${from}>node-${to}`,
    );
    for (const pair of pairs) cluster.oneWayLostPairs.add(pair);
    await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
    await cluster.clock.advance(PARTITION_MS);
    for (const pair of pairs) cluster.oneWayLostPairs.delete(pair);
  };
}

// With the state service on neither side every lease expires; the first controller to reach it may own the shard.
const SIDES = ['the side of the owner', 'the other side', 'both sides', 'neither side'] as const;

const scenarios: { title: string; controllers?: number; fault: Fault; maxMoves: number }[] = [
  ...SIDES.map((side) => ({
    title: `a partition of three controllers, the state service on ${side}`,
    fault: partitionControllers(1, side),
    maxMoves: side === 'the other side' || side === 'neither side' ? 1 : 0,
  })),
  ...SIDES.map((side) => ({
    title: `a partition of five controllers, two of them on the side of the owner, the state service on ${side}`,
    controllers: 5,
    fault: partitionControllers(2, side),
    maxMoves: side === 'the other side' || side === 'neither side' ? 1 : 0,
  })),
  {
    title: 'the owner is partitioned from its peers only',
    fault: ownerPartitionedFrom('peers'),
    maxMoves: 0,
  },
  {
    title: 'the owner is partitioned from its workers only',
    fault: ownerPartitionedFrom('workers'),
    maxMoves: 2,
  },
  {
    title: 'the owner is partitioned from the state service only',
    fault: ownerPartitionedFrom('state'),
    maxMoves: 1,
  },
  {
    title: 'the owner is partitioned from its peers and the state service',
    fault: ownerPartitionedFrom('peers', 'state'),
    maxMoves: 1,
  },
  {
    title: 'messages from the owner to one of two peers are lost',
    fault: oneWayLoss((owner, [first = 0]) => [[owner, first]]),
    maxMoves: 0,
  },
  {
    title: 'messages from one peer to the owner are lost',
    fault: oneWayLoss((owner, [first = 0]) => [[first, owner]]),
    maxMoves: 0,
  },
  {
    title: 'messages from the owner to all peers are lost',
    fault: oneWayLoss((owner, others) => others.map((other) => [owner, other])),
    maxMoves: 1,
  },
  {
    title: 'messages from all peers to the owner are lost',
    fault: oneWayLoss((owner, others) => others.map((other) => [other, owner])),
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
