/** @file The response of a shard's owner to a worker's heartbeat. */
import type { WorkerCommand } from '../../protocol/model';

/** `undecided`: the worker's lease is not renewed, e.g. because this controller holds no valid lease of the shard. */
export type OwnerResponse =
  { kind: 'accepted'; fencingToken: number; commands: WorkerCommand[] } | { kind: 'undecided' };

/** The response that does not renew the worker's lease. */
export const UNDECIDED: OwnerResponse = { kind: 'undecided' };
