import type { Settings } from '../base/settings';
import { KEY, read } from './records';
import type { WatchCache } from './watch-cache';

/**
 * How many blocks there are. The operator's word counts; else what the first leader wrote down, for a number that
 * follows from a quota would differ between nodes while machines are being changed, and a team must never lie in two
 * blocks; else what follows from our own quota. Block 0 is the first to be written.
 */
export function blockCount(cache: WatchCache, { operator, pace }: Settings): number {
  return operator.blocks ?? read.block(cache.get(KEY.block(0))?.value)?.of ?? pace.blocks;
}
