/** @file Whether a controller knows enough to serve, and whether users are well served by it. */
import type { PeerReachability } from '../suspicion/peer-reachability';
import type { ControllerContext } from './controller-context';
import type { MachineTypes } from './machine-types';

/** A view of the key-value store is fresh when a watch that was sent within this time was answered. */
const VIEW_FRESH_FOR_MS = 4_000;
/** How far apart controllers may notice the same outage: the ends of their watches, and their heartbeat interval. */
const OUTAGE_NOTICE_SPREAD_MS = 2_500;
/** Without a heartbeat of any peer for so long, this controller is likely cut off. */
const PEERS_SILENT_AFTER_MS = 3_500;

/** What readiness depends on. */
export interface ReadinessContext {
  readonly context: Pick<ControllerContext, 'cache' | 'clock' | 'settings'>;
  readonly machineTypes: MachineTypes;
  readonly reachability: PeerReachability;
}

/** How well a controller can serve at present. */
export class Readiness {
  constructor(private readonly components: ReadinessContext) {}

  /** Whether it has its copy of the records and the machine types, without which it can decide no request. */
  get isInitialized(): boolean {
    const { context, machineTypes } = this.components;
    return context.cache.isLoaded && machineTypes.all.length > 0;
  }

  /** Whether its view of the key-value store is recent. */
  get isViewFresh(): boolean {
    const { clock, cache } = this.components.context;
    return clock.now() - cache.freshAt < VIEW_FRESH_FOR_MS;
  }

  /**
   * Whether users are well served here. A controller that alone lost the key-value store sends them elsewhere; when all
   * have lost it, going elsewhere would not help. One that gets no message of its peers either is likely cut off itself.
   */
  get isReady(): boolean {
    if (!this.isInitialized) return false;
    const { context, reachability } = this.components;
    const { clock, cache, settings } = context;
    if (this.isViewFresh || settings.platform.others.length === 0) return true;
    if (clock.now() - reachability.lastHeartbeatAt > PEERS_SILENT_AFTER_MS) return false;
    // In an outage all lose it, though not all notice at the same moment: each removal by the load balancer makes the
    // next return slower, so only peers that go on reaching it for longer count.
    return reachability.lastFreshHeartbeatAt < cache.freshAt + VIEW_FRESH_FOR_MS + OUTAGE_NOTICE_SPREAD_MS;
  }
}
