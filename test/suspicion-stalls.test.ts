/** @file Controllers whose processes stall and resume: at most one owner per shard at any moment. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { moveCount, reassignmentTimes } from './fakes/ownership-history';
import {
  freezeFor,
  killFor,
  leaderIndex,
  otherControllers,
  runFaultScenario,
  SUSPICION_OFF,
  SUSPICION_ON,
  submitAndCancelDuring,
  type Fault,
} from './suspicion-steps';

const STALL_MS = 8_000;

/** The owner stalls, and users continue at another controller. */
const ownerStalls: Fault = async (scenario) => {
  const { cluster, owner } = scenario;
  freezeFor(scenario, owner, STALL_MS);
  await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
  await cluster.clock.advance(STALL_MS + 2_000);
};

/** The owner dies for good, and its chosen successor stalls as soon as it has reached this step. */
function successorStalls(step: 'chosen' | 'acquired' | 'confirmed'): Fault {
  return async (scenario) => {
    const { cluster, owner } = scenario;
    killFor(scenario, owner, 60_000);
    const others = otherControllers(cluster, owner);
    const successor = await untilStep(scenario, others, step);
    freezeFor(scenario, successor, STALL_MS);
    await submitAndCancelDuring(cluster, others.find((other) => other !== successor) ?? 0);
    await cluster.clock.advance(60_000);
  };
}

/** Waits until a controller has reached this step of the handover; returns its index. */
async function untilStep(
  { cluster }: Parameters<Fault>[0],
  others: readonly number[],
  step: 'chosen' | 'acquired' | 'confirmed',
): Promise<number> {
  const hasReached = (index: number): boolean => {
    const name = `node-${index}`;
    const shard = cluster.store.data.get('live/block/0')?.data as { owner: string };
    const lease = cluster.store.data.get('live/lease/0')?.data as
      { owner: string; token: number } | undefined;
    if (step === 'chosen') return shard.owner === name;
    if (lease?.owner !== name) return false;
    return (
      step === 'acquired' ||
      [...cluster.workers.values()].some(({ fencingToken }) => fencingToken >= lease.token)
    );
  };
  for (let waited = 0; waited < 3_000; waited += 1) {
    const reached = others.find(hasReached);
    if (reached !== undefined) return reached;
    await cluster.clock.advance(5);
  }
  assert.fail(`no controller reached "${step}"`);
}

const scenarios: { title: string; controllers?: number; fault: Fault }[] = [
  { title: 'the owner stalls for 8 s and resumes', fault: ownerStalls },
  { title: 'the owner, of five controllers, stalls for 8 s and resumes', controllers: 5, fault: ownerStalls },
  {
    title: 'a controller that owns no shard and is not the leader stalls for 8 s',
    fault: async (scenario) => {
      const { cluster, owner } = scenario;
      const follower = otherControllers(cluster, owner).find((index) => index !== leaderIndex(cluster)) ?? 0;
      freezeFor(scenario, follower, STALL_MS);
      await submitAndCancelDuring(cluster, owner);
      await cluster.clock.advance(STALL_MS);
      assert.equal(cluster.owner, owner);
    },
  },
  {
    title: 'the leader stalls for 8 s while another controller owns the shard',
    fault: async (scenario) => {
      const { cluster } = scenario;
      // The owner's shard is reassigned to another controller, which is not the leader.
      killFor(scenario, scenario.owner, 1_000);
      await cluster.clock.advance(100);
      const owner = await cluster.untilOwned();
      await cluster.clock.advance(8_000);
      const leader = leaderIndex(cluster);
      freezeFor(scenario, leader, STALL_MS);
      await submitAndCancelDuring(
        cluster,
        otherControllers(cluster, leader).find((index) => index !== owner) ?? 0,
      );
      await cluster.clock.advance(STALL_MS);
    },
  },
  {
    title: 'the chosen successor stalls for 8 s before it acquires the shard',
    fault: successorStalls('chosen'),
  },
  {
    title: 'the successor stalls for 8 s after it has acquired the shard',
    fault: successorStalls('acquired'),
  },
  {
    title: 'the successor stalls for 8 s when its first worker is confirmed',
    fault: successorStalls('confirmed'),
  },
  {
    title: 'the owner and then its successor stall, and both stalls overlap',
    fault: async (scenario) => {
      const { cluster, owner } = scenario;
      freezeFor(scenario, owner, STALL_MS);
      await cluster.clock.advance(5_000);
      const successor = await cluster.untilOwned();
      freezeFor(scenario, successor, STALL_MS);
      const reader = otherControllers(cluster, owner).find((index) => index !== successor) ?? 0;
      await submitAndCancelDuring(cluster, reader);
      await cluster.clock.advance(2 * STALL_MS);
    },
  },
  {
    title: 'two of five controllers stall at the same time',
    controllers: 5,
    fault: async (scenario) => {
      const { cluster, owner } = scenario;
      const [second = 0, reader = 0] = otherControllers(cluster, owner);
      freezeFor(scenario, owner, STALL_MS);
      freezeFor(scenario, second, STALL_MS);
      await submitAndCancelDuring(cluster, reader);
      await cluster.clock.advance(2 * STALL_MS);
    },
  },
];

for (const [name, operator] of [
  ['on', SUSPICION_ON],
  ['off', SUSPICION_OFF],
] as const) {
  for (const { title, controllers, fault } of scenarios) {
    test(`${title}; suspicion ${name}`, async () => {
      const { history } = await runFaultScenario(fault, { controllers, operator });
      assert.ok(reassignmentTimes(history).every((ms) => ms < 15_000));
    });
  }

  test(`all controllers stall for 4 s: none is declared failed, no shard moves; suspicion ${name}`, async () => {
    const { history } = await runFaultScenario(
      async (scenario) => {
        const { cluster } = scenario;
        for (const index of cluster.controllers.keys()) freezeFor(scenario, index, 4_000);
        await cluster.clock.advance(8_000);
        await submitAndCancelDuring(cluster, 0);
      },
      { operator },
    );
    assert.equal(moveCount(history), 0);
  });

  test(`all controllers are slow for 20 s: no shard moves; suspicion ${name}`, async () => {
    const { history } = await runFaultScenario(
      async ({ cluster }) => {
        const endDelays = [...cluster.controllers.keys()].map((index) => cluster.delayProcess(index, 300));
        await cluster.clock.advance(10_000);
        await submitAndCancelDuring(cluster, 0);
        await cluster.clock.advance(10_000);
        for (const endDelay of endDelays) endDelay();
      },
      { operator },
    );
    assert.equal(moveCount(history), 0);
  });
}
