/** @file The messages that a controller receives from its peers, and the heartbeats that it sends them. */
import { decodePeerMessage, writePeerMessage, type PeerHeartbeat, type PeerMessage } from '../protocol/peers';
import { reasonOf } from '../protocol/schemas';
import { areMostUnreachable, type PeerReachability } from '../suspicion/peer-reachability';
import type { ControllerContext } from './controller-context';
import type { JobProgressTable } from './job-progress';
import { heartbeatMessages } from './ownership/heartbeat-messages';
import type { LeaseExtension } from './ownership/lease-extension';
import type { Readiness } from './readiness';
import type { ShardOwner } from './shard/shard-owner';

/** The components that provide the content of heartbeats, and that receive the messages from peers. */
export interface PeerMessagingContext {
  readonly context: Pick<
    ControllerContext,
    'cache' | 'controllerId' | 'refusedMessages' | 'settings' | 'suspicion'
  >;
  readonly acquisition: { readonly owners: ReadonlyMap<number, ShardOwner> };
  readonly leaseExtension: LeaseExtension;
  readonly reachability: PeerReachability;
  readonly progress: JobProgressTable;
  readonly readiness: Readiness;
}

/** Delivers messages from peers to the components, and sends heartbeats to the peers. */
export class PeerMessaging {
  readonly #peers: ReadonlySet<string>;

  constructor(
    private readonly components: PeerMessagingContext,
    private readonly broadcast: (bytes: Uint8Array) => void,
  ) {
    this.#peers = new Set(components.context.settings.platform.others.map(({ node }) => node));
  }

  /** Delivers the message in a frame that came from the address `sender`. */
  onFrame(bytes: Uint8Array, sender: string): void {
    let message: PeerMessage | undefined;
    try {
      message = decodePeerMessage(bytes);
    } catch (error) {
      this.#refuse(sender, reasonOf(error));
      return;
    }
    if (!message) this.#refuse(sender, 'unknown kind');
    else if (this.#isFromPeer(message)) this.#deliver(message);
    else this.#refuse(sender, 'not from a controller of this deployment');
  }

  /** Broadcasts this controller's heartbeat, in as many messages as the progress of its jobs needs. */
  sendHeartbeat(): void {
    const { acquisition, progress } = this.components;
    const owners = [...acquisition.owners.values()];
    const jobs = owners.flatMap((owner) => (owner.entitled ? owner.progress() : []));
    progress.update(jobs);
    for (const message of heartbeatMessages(this.#heartbeat(owners), jobs)) {
      this.broadcast(writePeerMessage(message));
    }
  }

  #refuse(sender: string, problem: string): void {
    this.components.context.refusedMessages.add({ message: 'peer frame', sender, problem });
  }

  /** Whether the sender that a message names is a peer; state is kept for each sender. */
  #isFromPeer(message: PeerMessage): boolean {
    switch (message.kind) {
      case 'change notification':
        return true;
      case 'lease extension request':
        return this.#peers.has(message.request.from);
      case 'lease extension grant':
        return this.#peers.has(message.grant.from);
      case 'heartbeat':
        // Suspicion counts the heartbeats that it rejects by reasons of its own.
        return this.components.context.suspicion !== undefined || this.#peers.has(message.heartbeat.from);
    }
  }

  #deliver(message: PeerMessage): void {
    const { context, leaseExtension, reachability, progress } = this.components;
    switch (message.kind) {
      case 'change notification':
        context.cache.applyNotification(message.event);
        return;
      case 'lease extension request':
        leaseExtension.onRequest(message.request);
        return;
      case 'lease extension grant':
        leaseExtension.onGrant(message.grant);
        return;
      case 'heartbeat':
        if (context.suspicion?.accepts(message.heartbeat) === false) return;
        reachability.onHeartbeat(message.heartbeat);
        progress.update(message.heartbeat.jobs);
    }
  }

  #heartbeat(owners: readonly ShardOwner[]): Omit<PeerHeartbeat, 'jobs'> {
    const { context, reachability, readiness } = this.components;
    const unreachable = owners.filter((owner) => {
      const { machines, unreachable } = owner.workerReachability();
      return areMostUnreachable(machines, unreachable);
    });
    const heartbeat = {
      from: context.controllerId,
      isViewFresh: readiness.isViewFresh,
      unreachableShards: unreachable.map((owner) => owner.shard),
      redirected: reachability.redirectedMachineCounts(),
    };
    const view = context.suspicion?.view();
    return view === undefined ? heartbeat : { ...heartbeat, view };
  }
}
