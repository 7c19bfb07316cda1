/** @file What the owner of a shard answers a worker's heartbeat. */
import type { WorkerCommand } from '../../protocol/model';

/** `undecided`: the controller may not act for the shard at this moment, so it renews no lease. */
export type OwnerResponse =
  { kind: 'accepted'; fencingToken: number; commands: WorkerCommand[] } | { kind: 'undecided' };

/** The response of a controller that may not act for the shard. */
export const UNDECIDED: OwnerResponse = { kind: 'undecided' };
