import assert from 'node:assert/strict';
import { test } from 'node:test';
import { canonicalJson, TrafficDigest } from './fakes/traffic-digest';
import { RandomizedSimulation } from './simulation/simulation';

const SEEDS = [1, 2, 3, 4];
const SHORT = { faultPhaseMs: 20_000 };

for (const seed of SEEDS) {
  test(`randomized simulation, seed ${seed}: no invariant is violated and every accepted job becomes final`, async () => {
    const simulation = new RandomizedSimulation(seed);
    const violations = await simulation.run();
    assert.deepEqual(violations, [], simulation.report());
  });
}

test('the same seed repeats the same simulation steps', async () => {
  const simulations = [new RandomizedSimulation(7, SHORT), new RandomizedSimulation(7, SHORT)];
  for (const simulation of simulations) await simulation.run();
  assert.deepEqual(simulations[0]?.steps, simulations[1]?.steps);
});

async function digestOf(seed: number): Promise<{ hex: string; count: number }> {
  const digest = new TrafficDigest();
  await new RandomizedSimulation(seed, { ...SHORT, observer: digest.add }).run();
  return { hex: digest.hex(), count: digest.count };
}

test('the same seed produces the same message digest, a different seed a different one', async () => {
  const first = await digestOf(7);
  assert.ok(first.count > 1000, `${first.count} messages`);
  assert.deepEqual(await digestOf(7), first);
  assert.notEqual((await digestOf(8)).hex, first.hex);
});

test('the digest depends on the time, content and order of messages, but not on the order of fields', () => {
  const bytes = new Uint8Array([1, 2]);
  const sent = { kind: 'peer message sent', from: 'node-0', bytes } as const;
  const received = { kind: 'peer message received', from: 'node-0', to: 'node-1', bytes } as const;
  const hexOf = (...messages: [typeof sent | typeof received, number][]): string => {
    const digest = new TrafficDigest();
    for (const [message, at] of messages) digest.add(message, at);
    return digest.hex();
  };
  const hexes = [
    hexOf([sent, 1], [received, 1]),
    hexOf([received, 1], [sent, 1]),
    hexOf([sent, 1], [received, 2]),
    hexOf([sent, 1]),
    hexOf([{ ...sent, bytes: new Uint8Array([1, 3]) }, 1]),
  ];
  assert.equal(new Set(hexes).size, hexes.length);
  assert.equal(
    canonicalJson({ b: [1, null], a: { d: 'x', c: undefined } }),
    canonicalJson({ a: { d: 'x' }, b: [1, null] }),
  );
  assert.notEqual(canonicalJson({ a: '1' }), canonicalJson({ a: 1 }));
  assert.throws(() => canonicalJson({ a: new Map() }));
});
