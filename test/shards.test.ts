import assert from 'node:assert/strict';
import { test } from 'node:test';
import { teamsOfShard } from '../src/coordination/ownership/shard-teams';
import type { ShardRecord } from '../src/bookkeeping/records';
import { SimulatedCluster } from './fakes/simulated-cluster';

test('two shards: teams and machines are divided between two owners, and every job completes', async () => {
  const cluster = new SimulatedCluster({ operator: { blocks: 2 } });
  await cluster.submit('req-1', { crew: 'red', pieces: 4 }, 4);
  await cluster.submit('req-2', { crew: 'blue', pieces: 4 }, 4, 1);
  await cluster.untilJobState('req-1', 'done', 180);
  await cluster.untilJobState('req-2', 'done', 180);
  const owned = cluster.controllers.map((c) => c.controller.owners.size);
  assert.deepEqual(owned.sort(), [0, 1, 1]);
  cluster.assertInvariants();
});

const record = (teams: string[], of = 2): ShardRecord => ({ owner: 'node-0', teams, of });

// Guards against tasks that run twice, since a team that came first in the settings moved the others (review/3).
test('a team stays with its shard, wherever a new team stands in the settings', () => {
  const first = { records: [undefined, undefined], teams: ['red', 'blue', 'green'] };
  assert.deepEqual(teamsOfShard(0, first), ['red', 'green']);
  const half = { records: [record(['red', 'green']), undefined], teams: ['red', 'blue', 'green'] };
  assert.deepEqual(teamsOfShard(1, half), ['blue']);
  const records = [record(['red', 'green']), record(['blue'])];
  for (const teams of [
    ['guest', 'red', 'blue', 'green'],
    ['red', 'guest', 'blue', 'green'],
    ['red', 'blue', 'green', 'guest'],
  ]) {
    const [zero, one] = [0, 1].map((shard) => teamsOfShard(shard, { records, teams }));
    assert.deepEqual(
      zero?.filter((team) => team !== 'guest'),
      ['red', 'green'],
    );
    assert.deepEqual(
      one?.filter((team) => team !== 'guest'),
      ['blue'],
    );
    assert.deepEqual([...(zero ?? []), ...(one ?? [])].sort(), ['blue', 'green', 'guest', 'red']);
  }
  const withoutRed = { records, teams: ['blue'] };
  assert.deepEqual(
    teamsOfShard(1, withoutRed),
    ['blue'],
    'teams that other controllers know keep their shard',
  );
  const twice = { records: [record(['red', 'blue']), record(['blue'])], teams: ['red', 'blue'] };
  assert.deepEqual(teamsOfShard(1, twice), [], 'a team that two records have belongs to the first one');
  const more = { records: [record(['red', 'blue'], 1), undefined], teams: ['red', 'blue'] };
  assert.deepEqual([teamsOfShard(0, more), teamsOfShard(1, more)], [['red'], ['blue']]);
});
