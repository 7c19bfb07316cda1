/** @file Hostile messages go to all controllers for a minute, in an outage of the store and while the owner ends. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { readPeerMessage } from '../src/protocol/peers';
import { readSubmission } from '../src/protocol/users';
import { readHeartbeat } from '../src/protocol/workers';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { decoderOf } from './hostile/decoders';
import { hostileFrame, hostileMessage } from './hostile/messages';

const SECONDS = 60;
const OUTAGE = { from: 10, until: 22 };
const KILL_AT = 15;
const RESTART_AT = 25;
const MESSAGES_A_SECOND = 2;

const frameDecoder = decoderOf('peer frame');
/** Only malformed messages: a well-formed one would be a job or a report like any other. */
const BODIES = {
  '/work': hostileMessage(decoderOf('submission')).filter(
    (bytes) => readSubmission(bytes).kind === 'invalid',
  ),
  '/hello': hostileMessage(decoderOf('heartbeat')).filter((bytes) => !readHeartbeat(bytes).ok),
};
const FRAMES = hostileFrame(frameDecoder.valid, frameDecoder.maxBytes).filter(
  (bytes) => !readPeerMessage(bytes),
);

/** Sends malformed messages of all kinds to all running controllers. */
async function sendHostileMessages(cluster: SimulatedCluster, seed: number): Promise<void> {
  const running = cluster.controllers.flatMap(({ alive }, index) => (alive ? [index] : []));
  for (const index of running) {
    for (const [path, bodies] of Object.entries(BODIES)) {
      for (const bytes of fc.sample(bodies, { seed: seed + index, numRuns: MESSAGES_A_SECOND })) {
        const { status } = await cluster.sendBytes(index, path, bytes);
        assert.equal(status, 400, `${path} at ${index}: ${bytes.subarray(0, 40).toString('hex')}`);
      }
    }
    for (const frame of fc.sample(FRAMES, { seed: seed + index, numRuns: MESSAGES_A_SECOND })) {
      cluster.controllers[index]?.controller.onPeerFrame(frame, '10.0.0.9');
    }
  }
}

for (const seed of [1, 2, 3]) {
  test(`hostile messages in an outage and while the owner ends lose no job, seed ${seed}`, async () => {
    const cluster = new SimulatedCluster();
    let owner = await cluster.untilOwned();
    const jobs = Array.from({ length: 6 }, (_, n) => `req-${n}`);
    for (const job of jobs.slice(0, 3)) await cluster.submit(job, { pieces: 3 }, 20);
    for (let second = 0; second < SECONDS; second += 1) {
      if (second === OUTAGE.from) cluster.store.outage(true);
      if (second === OUTAGE.until) cluster.store.outage(false);
      if (second === KILL_AT) {
        owner = Math.max(0, cluster.owner);
        cluster.kill(owner);
      }
      if (second === RESTART_AT) cluster.restart(owner);
      await Promise.all([
        sendHostileMessages(cluster, seed * 10_000 + second * 10),
        cluster.clock.advance(1_000),
      ]);
    }
    for (const job of jobs.slice(3)) await cluster.submit(job, { pieces: 3 }, 20);
    for (const job of jobs) await cluster.untilJobState(job, 'done', 180);
    cluster.assertInvariants();
  });
}
