/** @file Routes a worker's heartbeat to a shard owner, to the lease relay, or to another controller. */
import { KEY, read } from '../bookkeeping/records';
import type { WorkerHeartbeat } from '../protocol/model';
import type { PeerReachability } from '../suspicion/peer-reachability';
import type { ControllerContext } from './controller-context';
import type { LeaseRelay, RelayResponse } from './ownership/lease-relay';
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

  /** Responds to a heartbeat. Returns a promise only if a record has to be written first: of the machine, or of a relay. */
  respond(heartbeat: WorkerHeartbeat): HeartbeatResponse | Promise<HeartbeatResponse> {
    const { context, acquisition } = this.components;
    if (!context.cache.isLoaded) return { kind: 'undecided' };
    for (const owner of acquisition.owners.values()) {
      if (owner.isStopped || !owner.ownsMachine(heartbeat.machine)) continue;
      return owner.onHeartbeat(heartbeat);
    }
    return this.#respondForOtherOwner(heartbeat);
  }

  #respondForOtherOwner(heartbeat: WorkerHeartbeat): HeartbeatResponse | Promise<HeartbeatResponse> {
    const { context, reachability, leaseRelay } = this.components;
    const { cache, controllerId } = context;
    const record = read.machine(cache.get(KEY.machine(heartbeat.machine))?.value);
    // The leader records the machine once the cloud lists it; until then no controller may accept its heartbeat.
    if (!record) return { kind: 'undecided' };
    const shard = record.block;
    const lease = read.lease(cache.get(KEY.lease(shard))?.value);
    if (!lease || lease.owner === controllerId) return { kind: 'undecided' };
    reachability.recordRedirect(heartbeat.machine, shard);
    const relayed = record.up ? leaseRelay.respond(heartbeat, shard) : undefined;
    if (!(relayed instanceof Promise)) return this.#acceptOrRedirect(relayed, lease.owner, shard);
    return relayed.then((response) => this.#acceptOrRedirect(response, lease.owner, shard));
  }

  #acceptOrRedirect(relayed: RelayResponse | undefined, owner: string, shard: number): HeartbeatResponse {
    if (relayed) return { kind: 'accepted', ...relayed };
    // An unreachable owner is not named, as the worker would wait for that owner until the worker's own lease expires.
    const isReachable = this.components.reachability.isReachable(owner, shard);
    return { kind: 'redirect', owner: isReachable ? owner : undefined };
  }
}
