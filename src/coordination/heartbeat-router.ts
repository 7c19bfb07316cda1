/** @file Routes a worker's heartbeat to a shard owner, to the lease relay, or to another controller. */
import { KEY, read } from '../bookkeeping/records';
import type { WorkerHeartbeat } from '../protocol/model';
import type { PeerReachability } from '../suspicion/peer-reachability';
import type { ControllerContext } from './controller-context';
import type { LeaseRelay } from './ownership/lease-relay';
import type { OwnerResponse } from './shard/owner-response';
import type { ShardOwner } from './shard/shard-owner';

/** The response to a worker's heartbeat. Without `owner`, a redirected worker should try any other controller. */
export type HeartbeatResponse = OwnerResponse | { kind: 'redirect'; owner: string | undefined };

/** The components that the router uses. */
export interface HeartbeatRouterContext {
  readonly context: Pick<ControllerContext, 'cache' | 'controllerId'>;
  readonly acquisition: { readonly owners: ReadonlyMap<number, ShardOwner> };
  readonly reachability: PeerReachability;
  readonly leaseRelay: LeaseRelay;
}

/** Routes heartbeats to the owner of the machine's shard. */
export class HeartbeatRouter {
  constructor(private readonly components: HeartbeatRouterContext) {}

  /** Responds to a heartbeat. Returns a promise only if the machine has to be recorded as up first. */
  respond(heartbeat: WorkerHeartbeat): HeartbeatResponse | Promise<HeartbeatResponse> {
    const { context, acquisition } = this.components;
    if (!context.cache.isLoaded) return { kind: 'undecided' };
    for (const owner of acquisition.owners.values()) {
      if (owner.isStopped || !owner.ownsMachine(heartbeat.machine)) continue;
      return owner.onHeartbeat(heartbeat);
    }
    return this.#respondForOtherOwner(heartbeat);
  }

  #respondForOtherOwner(heartbeat: WorkerHeartbeat): HeartbeatResponse {
    const { context, reachability, leaseRelay } = this.components;
    const { cache, controllerId } = context;
    const record = read.machine(cache.get(KEY.machine(heartbeat.machine))?.value);
    // The leader records the machine once the cloud lists it; until then no controller may accept its heartbeat.
    if (!record) return { kind: 'undecided' };
    const lease = read.lease(cache.get(KEY.lease(record.block))?.value);
    if (!lease || lease.owner === controllerId) return { kind: 'undecided' };
    reachability.recordRedirect(heartbeat.machine, record.block);
    const relayed = record.up ? leaseRelay.respond(heartbeat, record.block) : undefined;
    if (relayed) return { kind: 'accepted', ...relayed };
    // An unreachable owner is not named, as the worker would wait for that owner until the worker's own lease expires.
    const owner = reachability.isReachable(lease.owner, record.block) ? lease.owner : undefined;
    return { kind: 'redirect', owner };
  }
}
