/** @file The number of shards. */
import type { Settings } from '../base/settings';
import { KEY, read } from './records';
import type { WatchCache } from './watch-cache';

/**
 * The number of shards: the operator's setting, else the number that the first leader recorded, else the number derived
 * from this controller's quota. The recorded number overrides the derived one, because quotas differ between controllers
 * while their machines are being replaced, and a team must never belong to two shards. The recorded number is read
 * from the record of shard 0, which is the first shard record to be written.
 */
export function shardCount(cache: WatchCache, { operator, throttling }: Settings): number {
  return operator.blocks ?? read.shard(cache.get(KEY.shard(0))?.value)?.of ?? throttling.shards;
}
