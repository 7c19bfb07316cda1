/** @file Controllers that come back at once, or of two versions, with suspicion on: one owner at a time. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Version } from './fakes/versions';
import {
  freezeFor,
  killFor,
  otherControllers,
  runFaultScenario,
  SUSPICION_OFF,
  SUSPICION_ON,
  submitAndCancelDuring,
  type Fault,
} from './suspicion-steps';

/** The owner's process ends and is back after so long. */
function ownerRestarts(awayMs: number): Fault {
  return async (play) => {
    killFor(play, play.owner, awayMs);
    await submitAndCancelDuring(play.cluster, otherControllers(play.cluster, play.owner)[0] ?? 0);
    await play.cluster.clock.advance(15_000);
  };
}

/** The production version refuses settings that it doesn't know: an operator takes them out before a roll back. */
const operatorFor = (version: Version): Record<string, unknown> =>
  version === 'present' ? SUSPICION_ON : SUSPICION_OFF;

/** Restarts all controllers with a version, one after the other. */
function roll(to: Version): Fault {
  return async ({ cluster, history }) => {
    for (const index of cluster.controllers.keys()) {
      history.recordControllerFailure(index);
      cluster.kill(index);
      await cluster.clock.advance(1_500);
      cluster.setOperatorOptions(index, operatorFor(to));
      cluster.restart(index, to);
      await cluster.clock.advance(4_000);
    }
    await submitAndCancelDuring(cluster, 0);
    await cluster.clock.advance(5_000);
  };
}

/** A controller stalls in the middle of a roll. */
function stallInRoll(to: Version): Fault {
  return async (play) => {
    const { cluster, history } = play;
    const [first = 0] = otherControllers(cluster, play.owner);
    history.recordControllerFailure(first);
    cluster.kill(first);
    await cluster.clock.advance(1_500);
    cluster.setOperatorOptions(first, operatorFor(to));
    cluster.restart(first, to);
    await cluster.clock.advance(4_000);
    freezeFor(play, await cluster.untilOwned(), 8_000);
    await submitAndCancelDuring(cluster, first);
    await cluster.clock.advance(12_000);
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
      const { cluster, owner } = play;
      killFor(play, owner, 200);
      await cluster.clock.advance(400);
      killFor(play, owner, 300);
      await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
      await cluster.clock.advance(15_000);
    },
  },
  {
    title: 'all controllers end, and are back within a second',
    fault: async (play) => {
      for (const index of play.cluster.controllers.keys()) killFor(play, index, 300 + 200 * index);
      await play.cluster.clock.advance(8_000);
      await submitAndCancelDuring(play.cluster, 0);
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
    const { history } = await runFaultScenario(fault, { versions: versions(from), operators });
    assert.ok(history.orphans.length > 0);
  });
}
