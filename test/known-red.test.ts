/** @file Faults of KNOWN-RED.txt that a test shows: each runs, is printed as `todo` while it fails, and fails no suite. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { CONTROLLER_INDICES } from './user-steps';
import { submission } from './fakes/submission';

const VALUE_KB = 16;

test(
  'a submission whose record exceeds the limit on values gets a final answer',
  { todo: 'KNOWN-RED 4' },
  async () => {
    const cluster = new SimulatedCluster();
    await cluster.untilOwned();
    cluster.store.limits = { valueKb: VALUE_KB, txnOps: 32, writeRps: 100 };
    const frames = Array.from({ length: 200 }, (_, n) => `m4-${String(n).padStart(100, '0')}`);
    const body = submission('req-1', { frames: ['m4', ...frames] });
    for (const index of CONTROLLER_INDICES) {
      const { status } = await cluster.request(index, 'POST', '/work', body);
      assert.ok(status === 400 || status === 422 || status === 201, `controller ${index}: ${status}`);
    }
  },
);
