import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Walk } from './walk';

const SEEDS = [1, 2, 3, 4];

for (const seed of SEEDS) {
  test(`a walk through troubles by chance, seed ${seed}: no rule broken, all comes to its end`, async () => {
    const walk = new Walk(seed);
    const broken = await walk.run();
    assert.deepEqual(broken, [], walk.story());
  });
}

test('the same seed makes the same walk', async () => {
  const walks = [new Walk(7, 20_000), new Walk(7, 20_000)];
  for (const walk of walks) await walk.run();
  assert.deepEqual(walks[0]?.steps, walks[1]?.steps);
});
