/** @file Which teams belong to which shard. */
import type { ShardRecord } from '../../bookkeeping/records';

/** The records of all shards, and the teams of the settings. */
export interface ShardTeamsInput {
  /** The records by the number of the shard; undefined for a shard that was never assigned. */
  readonly records: readonly (ShardRecord | undefined)[];
  /** The names of the teams, in the order of the settings. */
  readonly teams: readonly string[];
}

/**
 * The teams of a shard. A team stays with the shard whose record has it, for its tasks run on that shard's machines: if it
 * moved, the new owner would start them again. Only a team that no record has is given to a shard, by its place in the
 * settings. After a change of the number of shards, which is made with all controllers stopped, all teams are divided anew.
 */
export function teamsOfShard(shard: number, { records, teams }: ShardTeamsInput): string[] {
  const shards = records.length;
  const recorded = records.map((record) => (record?.of === shards ? record.teams : []));
  const takenBefore = new Set(recorded.slice(0, shard).flat());
  const taken = new Set(recorded.flat());
  const kept = (recorded[shard] ?? []).filter((team) => !takenBefore.has(team));
  const added = teams.filter((team, index) => index % shards === shard && !taken.has(team));
  return [...kept, ...added];
}
