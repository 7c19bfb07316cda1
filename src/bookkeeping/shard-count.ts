import type { Settings } from '../base/settings';
import { KEY, read } from './records';
import type { WatchCache } from './watch-cache';

/**
 * How many shards there are. The operator's word counts; else what the first leader wrote down, for a number that
 * follows from a quota would differ between nodes while machines are being changed, and a team must never lie in two
 * shards; else what follows from our own quota. Shard 0 is the first to be written.
 */
export function shardCount(cache: WatchCache, { operator, throttling }: Settings): number {
  return operator.blocks ?? read.shard(cache.get(KEY.shard(0))?.value)?.of ?? throttling.shards;
}
