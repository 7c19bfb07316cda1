/** @file The number of shards. */
import type { Settings } from '../base/settings';
import { KEY, read } from './records';
import type { WatchCache } from './watch-cache';

/**
 * How many shards there are. The operator's setting comes first; then the number that the first leader recorded, for a
 * number that follows from a quota would differ between controllers while their machines are being changed, and a team
 * must never lie in two shards; then the number that follows from this controller's own quota. The record of shard 0 is
 * the first to be written.
 */
export function shardCount(cache: WatchCache, { operator, throttling }: Settings): number {
  return operator.blocks ?? read.shard(cache.get(KEY.shard(0))?.value)?.of ?? throttling.shards;
}
