/** @file A short soak of the randomized simulation: seeds that showed faults, two shards, and two versions side by side. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulationOptions } from './simulation/context';
import { RandomizedSimulation } from './simulation/simulation';

/** Seeds in which machines that were gone kept their tasks, since most of a shard's machines were silent. */
const GONE_MACHINES_SEEDS = [7310386, 8200007, 8300162];
/** Seeds in which a task ran on two machines by a fault of the simulation's worker. */
const TWO_SHARDS_SEEDS = [9301579, 1, 2, 3, 4, 5];
const TWO_VERSIONS_SEEDS = [5101234, 1, 2, 3];

async function assertHolds(seed: number, options: SimulationOptions = {}): Promise<void> {
  const simulation = new RandomizedSimulation(seed, options);
  const violations = await simulation.run();
  assert.deepEqual(violations, [], simulation.report());
}

for (const seed of GONE_MACHINES_SEEDS) {
  test(`randomized simulation, seed ${seed}: the tasks of machines that are gone run again`, () =>
    assertHolds(seed));
}

for (const seed of TWO_SHARDS_SEEDS) {
  test(`randomized simulation with two shards, seed ${seed}: no invariant is violated`, () =>
    assertHolds(seed, { shards: 2 }));
}

for (const seed of TWO_VERSIONS_SEEDS) {
  test(`randomized simulation with a controller of the production version, seed ${seed}: no invariant is violated`, () =>
    assertHolds(seed, { versions: ['production', 'present', 'present'] }));
}
