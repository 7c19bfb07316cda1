/** @file Controllers that come back at once, or of two versions, with suspicion on: one owner at a time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Version } from './fakes/versions';
import {
  freezeFor,
  killFor,
  othersThan,
  playFault,
  SUSPICION_OFF,
  SUSPICION_ON,
  usersDuring,
  type Fault,
} from './suspicion-steps';

/** The owner's process ends and is back after so long. */
function ownerRestarts(awayMs: number): Fault {
  return async (play) => {
    killFor(play, play.owner, awayMs);
    await usersDuring(play.world, othersThan(play.world, play.owner)[0] ?? 0);
    await play.world.clock.advance(15_000);
  };
}

/** The production version refuses settings that it doesn't know: an operator takes them out before a roll back. */
const operatorFor = (version: Version): Record<string, unknown> =>
  version === 'present' ? SUSPICION_ON : SUSPICION_OFF;

/** Restarts all controllers with a version, one after the other. */
function roll(to: Version): Fault {
  return async ({ world, history }) => {
    for (const index of world.controllers.keys()) {
      history.controllerFailed(index);
      world.kill(index);
      await world.clock.advance(1_500);
      world.setOperator(index, operatorFor(to));
      world.restart(index, to);
      await world.clock.advance(4_000);
    }
    await usersDuring(world, 0);
    await world.clock.advance(5_000);
  };
}

/** A controller stalls in the middle of a roll. */
function stallInRoll(to: Version): Fault {
  return async (play) => {
    const { world, history } = play;
    const [first = 0] = othersThan(world, play.owner);
    history.controllerFailed(first);
    world.kill(first);
    await world.clock.advance(1_500);
    world.setOperator(first, operatorFor(to));
    world.restart(first, to);
    await world.clock.advance(4_000);
    freezeFor(play, await world.untilOwned(), 8_000);
    await usersDuring(world, first);
    await world.clock.advance(12_000);
    await roll(to)(play);
  };
}

const versions = (version: Version): Version[] => [version, version, version];

const scenarios: { title: string; fault: Fault; from?: Version }[] = [
  { title: 'the owner is back after 0.2 s with a new incarnation', fault: ownerRestarts(200) },
  { title: 'the owner is back after 1.1 s', fault: ownerRestarts(1_100) },
  { title: 'the owner is back after 4.9 s, as its lease ends', fault: ownerRestarts(4_900) },
  {
    title: 'the owner is back twice within a second, in mid-election',
    fault: async (play) => {
      const { world, owner } = play;
      killFor(play, owner, 200);
      await world.clock.advance(400);
      killFor(play, owner, 300);
      await usersDuring(world, othersThan(world, owner)[0] ?? 0);
      await world.clock.advance(15_000);
    },
  },
  {
    title: 'all controllers end, and are back within a second',
    fault: async (play) => {
      for (const index of play.world.controllers.keys()) killFor(play, index, 300 + 200 * index);
      await play.world.clock.advance(8_000);
      await usersDuring(play.world, 0);
    },
  },
  { title: 'a roll from the production version', fault: roll('present'), from: 'production' },
  { title: 'a roll back to the production version', fault: roll('production') },
  { title: 'the owner stalls in the middle of a roll', fault: stallInRoll('present'), from: 'production' },
  { title: 'the owner stalls in the middle of a roll back', fault: stallInRoll('production') },
];

for (const { title, fault, from = 'present' } of scenarios) {
  test(`${title}; suspicion on`, async () => {
    const operators = versions(from).map(operatorFor);
    const { history } = await playFault(fault, { versions: versions(from), operators });
    assert.ok(history.orphans.length > 0);
  });
}
