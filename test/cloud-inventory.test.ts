/** @file What the cloud's list, which lags, says about machines that are missing from it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CloudInventory } from '../src/coordination/autoscaling/cloud-inventory';
import type { Cloud } from '../src/protocol/cloud';
import type { ListedMachine } from '../src/protocol/model';
import { FakeClock } from './fakes/clock';

const LAG_MS = 8_000;
const LISTED: ListedMachine = {
  id: 'host-000001',
  address: '',
  type: 'm4',
  zone: 'a',
  spot: true,
  state: 'running',
  ageS: 30,
};

/** Reads the list at the given time; the response takes a second. */
async function readListAt(at: number): Promise<CloudInventory> {
  const clock = new FakeClock();
  const cloud = {
    listMachines: async () => {
      await clock.sleep(1_000);
      return [LISTED];
    },
  };
  const inventory = new CloudInventory(cloud as unknown as Cloud, clock, LAG_MS);
  await clock.advance(at);
  void inventory.step(new AbortController().signal, () => true);
  await clock.advance(2_000);
  return inventory;
}

// Fails if the list counts as up to date although it lags.
test('a machine is gone if the list lacks it and, even with twice the usual lag, describes a later time', async () => {
  const inventory = await readListAt(50_000);
  assert.equal(inventory.isGone('host-000002', 50_000 - 2 * LAG_MS - 1), true);
  assert.equal(inventory.isGone('host-000002', 50_000 - 2 * LAG_MS), false);
  assert.equal(inventory.isGone('host-000001', 0), false);
});

test('no machine counts as gone before the list is read', () => {
  const inventory = new CloudInventory({} as Cloud, new FakeClock(), LAG_MS);
  assert.equal(inventory.isGone('host-000001', -1), false);
});
