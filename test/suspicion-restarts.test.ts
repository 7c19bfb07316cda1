/** @file Controllers that restart quickly or run different versions, with suspicion on: one owner at a time. */
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

/** The owner's process is killed and restarts after this time. */
function ownerRestarts(downMs: number): Fault {
  return async (scenario) => {
    killFor(scenario, scenario.owner, downMs);
    await submitAndCancelDuring(scenario.cluster, otherControllers(scenario.cluster, scenario.owner)[0] ?? 0);
    await scenario.cluster.clock.advance(15_000);
  };
}

/** The production version rejects unknown settings: an operator removes them before a rollback. */
const operatorFor = (version: Version): Record<string, unknown> =>
  version === 'present' ? SUSPICION_ON : SUSPICION_OFF;

/** Restarts all controllers with this version, one after the other. */
function rollingRestart(to: Version): Fault {
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

/** The owner stalls when one controller has been restarted with the new version. */
function stallDuringRollingRestart(to: Version): Fault {
  return async (scenario) => {
    const { cluster, history } = scenario;
    const [restartedIndex = 0] = otherControllers(cluster, scenario.owner);
    history.recordControllerFailure(restartedIndex);
    cluster.kill(restartedIndex);
    await cluster.clock.advance(1_500);
    cluster.setOperatorOptions(restartedIndex, operatorFor(to));
    cluster.restart(restartedIndex, to);
    await cluster.clock.advance(4_000);
    freezeFor(scenario, await cluster.untilOwned(), 8_000);
    await submitAndCancelDuring(cluster, restartedIndex);
    await cluster.clock.advance(12_000);
    await rollingRestart(to)(scenario);
  };
}

const versions = (version: Version): Version[] => [version, version, version];

const scenarios: { title: string; fault: Fault; from?: Version }[] = [
  { title: 'the owner restarts after 0.2 s with a new session', fault: ownerRestarts(200) },
  { title: 'the owner restarts after 1.1 s', fault: ownerRestarts(1_100) },
  { title: 'the owner restarts after 4.9 s, as its lease expires', fault: ownerRestarts(4_900) },
  {
    title: 'the owner restarts twice within a second, during the election',
    fault: async (scenario) => {
      const { cluster, owner } = scenario;
      killFor(scenario, owner, 200);
      await cluster.clock.advance(400);
      killFor(scenario, owner, 300);
      await submitAndCancelDuring(cluster, otherControllers(cluster, owner)[0] ?? 0);
      await cluster.clock.advance(15_000);
    },
  },
  {
    title: 'all controllers are killed and restart within a second',
    fault: async (scenario) => {
      for (const index of scenario.cluster.controllers.keys()) killFor(scenario, index, 300 + 200 * index);
      await scenario.cluster.clock.advance(8_000);
      await submitAndCancelDuring(scenario.cluster, 0);
    },
  },
  {
    title: 'a rolling upgrade from the production version',
    fault: rollingRestart('present'),
    from: 'production',
  },
  { title: 'a rolling downgrade to the production version', fault: rollingRestart('production') },
  {
    title: 'the owner stalls during a rolling upgrade',
    fault: stallDuringRollingRestart('present'),
    from: 'production',
  },
  { title: 'the owner stalls during a rolling downgrade', fault: stallDuringRollingRestart('production') },
];

for (const { title, fault, from = 'present' } of scenarios) {
  test(`${title}; suspicion on`, async () => {
    const operators = versions(from).map(operatorFor);
    const { history } = await runFaultScenario(fault, { versions: versions(from), operators });
    assert.ok(history.orphans.length > 0);
  });
}
