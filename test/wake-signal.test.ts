import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WakeSignal } from '../src/base/clock';
import { FakeClock } from './fakes/clock';

test('a wake ends a wait at once, comes to the next wait if nobody waits, and needs no timer of its own', async () => {
  const clock = new FakeClock();
  const wake = new WakeSignal(clock);
  const ends: number[] = [];
  const wait = async (): Promise<void> => {
    await wake.wait(100);
    ends.push(clock.now());
  };
  void wait();
  await clock.advance(30);
  wake.wake();
  await clock.advance(0);
  assert.deepEqual(ends, [30]);
  wake.wake();
  void wait();
  await clock.advance(0);
  assert.deepEqual(ends, [30, 30]);
  // The sleep of the first wait ends this one: never later than asked for.
  void wait();
  await clock.advance(200);
  assert.deepEqual(ends, [30, 30, 100]);
  void wait();
  await clock.advance(200);
  assert.deepEqual(ends, [30, 30, 100, 330]);
});
