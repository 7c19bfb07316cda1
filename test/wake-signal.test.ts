import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WakeSignal } from '../src/base/clock';
import { FakeClock } from './fakes/clock';

test('a wake ends the current wait at once, or else the next wait, and no second timer is started', async () => {
  const clock = new FakeClock();
  const wake = new WakeSignal(clock);
  const endedAt: number[] = [];
  const wait = async (): Promise<void> => {
    await wake.wait(100);
    endedAt.push(clock.now());
  };
  void wait();
  await clock.advance(30);
  wake.wake();
  await clock.advance(0);
  assert.deepEqual(endedAt, [30]);
  wake.wake();
  void wait();
  await clock.advance(0);
  assert.deepEqual(endedAt, [30, 30]);
  // The timer of the first wait also ends this one: a wait may end early, but never late.
  void wait();
  await clock.advance(200);
  assert.deepEqual(endedAt, [30, 30, 100]);
  void wait();
  await clock.advance(200);
  assert.deepEqual(endedAt, [30, 30, 100, 330]);
});
