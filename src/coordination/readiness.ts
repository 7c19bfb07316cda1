/** @file Whether a controller can decide requests, and whether the load balancer should send users to it. */
import type { PeerReachability } from '../suspicion/peer-reachability';
import type { ControllerContext } from './controller-context';
import type { MachineTypes } from './machine-types';

/** Maximum age of a fresh view of the key-value store: time since the last answered watch request was sent. */
const MAX_VIEW_AGE_MS = 4_000;
/** Longest time between two controllers' detections of one outage: watches end and heartbeats arrive at different times. */
const OUTAGE_DETECTION_SPREAD_MS = 2_500;
/** A controller that received no heartbeat from any peer for this long is probably partitioned. */
const PEER_HEARTBEAT_TIMEOUT_MS = 3_500;

/** The components that readiness depends on. */
export interface ReadinessContext {
  readonly context: Pick<ControllerContext, 'cache' | 'clock' | 'settings'>;
  readonly machineTypes: MachineTypes;
  readonly reachability: PeerReachability;
}

/** The readiness of a controller for requests. */
export class Readiness {
  constructor(private readonly components: ReadinessContext) {}

  /** Whether the records and the machine types are loaded; before that no request can be decided. */
  get isInitialized(): boolean {
    const { context, machineTypes } = this.components;
    return context.cache.isLoaded && machineTypes.all.length > 0;
  }

  /** Whether the view of the key-value store is recent. */
  get isViewFresh(): boolean {
    const { clock, cache } = this.components.context;
    return clock.now() - cache.freshAt < MAX_VIEW_AGE_MS;
  }

  /**
   * Whether the load balancer should send users to this controller. A controller that alone can't reach the key-value store
   * is not ready; if no controller can, it stays ready, because others could not help either. A controller that also
   * receives no heartbeats from its peers is probably partitioned, and is not ready.
   */
  get isReady(): boolean {
    if (!this.isInitialized) return false;
    const { context, reachability } = this.components;
    const { clock, cache, settings } = context;
    if (this.isViewFresh || settings.platform.others.length === 0) return true;
    if (clock.now() - reachability.lastHeartbeatAt > PEER_HEARTBEAT_TIMEOUT_MS) return false;
    // Controllers detect the same outage at different times, and after each removal the load balancer readmits a
    // controller more slowly. So this controller stays ready unless a peer's view is fresh beyond the detection spread.
    return reachability.lastFreshHeartbeatAt < cache.freshAt + MAX_VIEW_AGE_MS + OUTAGE_DETECTION_SPREAD_MS;
  }
}
