/** @file Real controllers get malformed messages from many senders at once, beside ordinary jobs. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HostileLoad } from './hostile/real-controllers';

const SECONDS = Number(process.env.HOSTILE_SECONDS ?? 30);
const SEED = Number(process.env.HOSTILE_SEED ?? 1);

test('malformed messages from many senders end no controller, each gets 400, and ordinary jobs are done', async (t) => {
  const result = await new HostileLoad('target/test/hostile-controllers', SEED).run(SECONDS);
  t.diagnostic(JSON.stringify({ ...result, ended: result.ended.length }));
  assert.deepEqual(result.ended, []);
  assert.deepEqual(Object.keys(result.statuses), ['400'], JSON.stringify(result.statuses));
  assert.deepEqual(result.failedJobs, []);
  assert.ok(result.sent > SECONDS && result.frames > SECONDS && result.submitted > 0);
});
