/** @file Suspicion of failed controllers: observes peers and this process, and ranks controllers as shard owners. */
import { maxUint64, type Uint64 } from '../base/uint64';
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import { KEY, PREFIX, read } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { PeerView } from '../protocol/peer-view';
import type { PeerHeartbeat } from '../protocol/peers';
import type { ChangeEvent } from '../protocol/key-value-store';
import { isSuspectedByMajority } from './majority-suspicion';
import { MoveLimiter } from './move-limiter';
import type { SuspicionOptions } from './options';
import { PeerDetector, type SessionState, type StatusChange } from './peer-detector';
import type { PeerLiveness } from './peer-liveness';
import { isSuspect } from './peer-state';
import { peersReport, type PeersReport } from './peers-report';
import { isStalled, plannedHandoverReason, type PlannedHandoverReason } from './planned-handover';
import { RejectedMessages, rejectionReason } from './rejected-messages';
import { TICK_INTERVAL_MS, type Pause } from './running-clock';
import { rankCandidates, type OwnerCandidate } from './successor';

/** The services and settings that suspicion uses. */
export interface SuspicionContext {
  /** This controller. */
  readonly controllerId: string;
  /** The names of the other controllers, from the settings. */
  readonly peers: readonly string[];
  readonly clock: Clock;
  readonly cache: WatchCache;
  readonly log: Log;
}

/** The successor to which a shard should be handed over, and the reason. */
export interface PlannedHandover {
  readonly successor: string;
  readonly reason: PlannedHandoverReason;
}

/**
 * Observes the peers and this process, exchanges views with the peers, and ranks controllers. A suspicion gives no
 * controller authority over a shard: authority requires the shard lease and a fencing token. A peer counts as
 * failed only when its session has ended. All effects of a suspicion are reversible.
 */
export class Suspicion implements PeerLiveness {
  readonly #detector: PeerDetector;
  readonly #rejected: RejectedMessages;
  readonly #moves: MoveLimiter;
  /** The peers whose watch cache was fresh when they sent their last heartbeat. */
  readonly #peersWithFreshView = new Set<string>();
  /** The session epoch of this controller: the revision at which its record was written; 0 before the first session. */
  #sessionEpoch: Uint64 = 0;
  /** Counter within a session, raised to refute a suspicion. */
  #incarnation = 0;
  /** Monotonic time since which most peers have suspected this controller; undefined if they don't. */
  #suspectedSince: number | undefined;

  constructor(
    private readonly context: SuspicionContext,
    readonly options: SuspicionOptions,
  ) {
    const { peers, clock, log, cache } = context;
    this.#rejected = new RejectedMessages(log);
    this.#moves = new MoveLimiter(options.movesPerMinute);
    this.#detector = new PeerDetector(peers, options, clock.now(), (change) => {
      this.#logChange(change);
    });
    cache.onChange((event) => {
      this.#onRecordChange(event);
    });
  }

  /** Waits for the tick interval, then updates the status of the peers and of this process. Runs in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock, cache, controllerId } = this.context;
    await clock.sleep(TICK_INTERVAL_MS, signal);
    const now = clock.now();
    this.#sessionEpoch = maxUint64(this.#sessionEpoch, cache.version(KEY.controller(controllerId)));
    this.#detector.tick(now, (peer) => this.#sessionOf(peer));
    const isSuspected = this.#isSuspectedByMajority(controllerId);
    this.#suspectedSince = isSuspected ? (this.#suspectedSince ?? now) : undefined;
  }

  /** Whether a peer's heartbeat is valid. An invalid one is counted, and the first for each reason is logged. */
  accepts(heartbeat: PeerHeartbeat): boolean {
    const reason = rejectionReason(heartbeat, this.context.controllerId, this.#detector);
    if (reason !== undefined) this.#rejected.add(reason, heartbeat.from);
    return reason === undefined;
  }

  /** Applies a heartbeat that `accepts` returned true for. */
  onHeartbeat({ from, isViewFresh, view }: PeerHeartbeat): void {
    this.#detector.onHeartbeat(from, view, this.context.clock.now());
    if (isViewFresh) this.#peersWithFreshView.add(from);
    else this.#peersWithFreshView.delete(from);
    if (view) this.#refute(view);
  }

  /** Raises this controller's incarnation, sent in the next heartbeat, above one that a peer suspects, if there is any. */
  #refute({ opinions }: PeerView): void {
    for (const { node, run, status, incarnation } of opinions) {
      const isAboutThis = node === this.context.controllerId && run >= this.#sessionEpoch;
      if (!isAboutThis || status !== 'suspected') continue;
      this.#incarnation = Math.max(this.#incarnation, incarnation + 1);
    }
  }

  isUnresponsive(peer: string): boolean {
    return this.#detector.isUnresponsive(peer);
  }

  /** This controller's view of its peers and of itself, for its heartbeat. */
  view(): PeerView {
    return {
      run: this.#sessionEpoch,
      incarnation: this.#incarnation,
      isStalled: this.#isStalled(),
      opinions: this.#detector.opinions(this.context.clock.now()),
    };
  }

  /** Ranks the candidates for a shard, best first. Controllers with the same views compute the same order. */
  rankOwners(shard: number, candidates: readonly OwnerCandidate[]): string[] {
    const lastOwner = this.#lastOwnerOf(shard);
    const assessed = candidates.map((candidate) => ({
      ...candidate,
      isSuspect: this.isSuspect(candidate.controller),
      wasLastOwner: candidate.controller === lastOwner,
      isOnProbation: this.#detector.state(candidate.controller)?.status === 'returned',
    }));
    return rankCandidates(shard, assessed).map(({ controller }) => controller);
  }

  /** Whether a controller, possibly this one, is suspected or stalled, so that others are preferred as shard owners. */
  isSuspect(controller: string): boolean {
    if (this.#isSuspectedByMajority(controller)) return true;
    if (controller === this.context.controllerId) return this.#isStalled();
    const status = this.#detector.state(controller)?.status ?? 'unknown';
    return isSuspect(status) || this.#detector.views.get(controller)?.isStalled === true;
  }

  #isSuspectedByMajority(controller: string): boolean {
    const { controllerId, peers } = this.context;
    const sessionEpoch =
      controller === controllerId
        ? this.#sessionEpoch
        : (this.#detector.state(controller)?.sessionEpoch ?? 0);
    return isSuspectedByMajority({ controller, sessionEpoch }, this.#detector.views, peers.length);
  }

  /** Whether the limit on moves allows a shard to be reassigned before the assigned owner has acquired the lease. */
  allowsReassignment(): boolean {
    return this.#moves.allowsAnyMove(this.context.clock.now());
  }

  /** Whether the limits on moves allow a shard to be moved now from an owner that holds its lease. */
  allowsMove(shard: number): boolean {
    return this.#moves.allowsMove(shard, this.context.clock.now());
  }

  /**
   * The handover by which this controller, being stalled or suspected, should give up a shard; undefined if it should
   * keep the shard. The successor must reach the key-value store and have sent a heartbeat since this
   * controller's last stall: if all controllers are slow, a handover is no improvement.
   */
  plannedHandover(shard: number, candidates: readonly OwnerCandidate[]): PlannedHandover | undefined {
    const self = { stalls: this.#recentStalls(), suspectedSince: this.#suspectedSince };
    const reason = plannedHandoverReason(self, this.options, this.context.clock.now());
    if (reason === undefined || !this.allowsMove(shard)) return undefined;
    const eligible = candidates.filter(({ controller }) => this.#isEligibleSuccessor(controller));
    const [successor] = this.rankOwners(shard, eligible);
    return successor === undefined ? undefined : { successor, reason };
  }

  #lastOwnerOf(shard: number): string | undefined {
    return read.shard(this.context.cache.get(KEY.shard(shard))?.value)?.holder;
  }

  /** Whether a peer may become the owner of a shard that this controller hands over. */
  #isEligibleSuccessor(peer: string): boolean {
    if (peer === this.context.controllerId || this.isSuspect(peer) || this.isUnresponsive(peer)) return false;
    if (!this.#peersWithFreshView.has(peer) || !this.#detector.views.has(peer)) return false;
    const now = this.context.clock.now();
    const lastStall = this.#recentStalls().at(-1);
    const sinceStallMs = lastStall === undefined ? Infinity : now - lastStall.to;
    return (this.#detector.lastHeartbeatMsAgo(peer, now) ?? Infinity) < sinceStallMs;
  }

  /** The opinions of this controller and its peers on each other, for operators. */
  report(): PeersReport {
    const { controllerId, clock } = this.context;
    return peersReport({
      controllerId,
      view: this.view(),
      views: this.#detector.views,
      phiOf: (peer) => this.#detector.phi(peer),
      stalls: this.#recentStalls().length,
      suspectedForMs: this.#suspectedSince === undefined ? undefined : clock.now() - this.#suspectedSince,
      rejected: this.#rejected.counts,
    });
  }

  /** The pauses of this process in the last `stall_window_s` seconds that count as stalls. */
  #recentStalls(): Pause[] {
    const { stallWindowMs, stallMs } = this.options;
    return this.#detector.runningClock.pausesSince(this.context.clock.now() - stallWindowMs, stallMs);
  }

  #isStalled(): boolean {
    return isStalled(this.#recentStalls(), this.options);
  }

  #sessionOf(peer: string): SessionState {
    const { cache } = this.context;
    if (!cache.isLoaded) return 'unknown';
    return cache.get(KEY.controller(peer)) === undefined ? 'ended' : 'exists';
  }

  #onRecordChange({ key, value, deleted }: ChangeEvent): void {
    if (deleted || !key.startsWith(PREFIX.shard)) return;
    const record = read.shard(value);
    const shard = Number(key.slice(PREFIX.shard.length));
    if (record) this.#moves.recordOwner(shard, record.owner, this.context.clock.now());
  }

  #logChange({ peer, before, after }: StatusChange): void {
    const { status, reason, sessionEpoch, incarnation } = after;
    this.context.log.info(
      { peer, before: before.status, status, reason, run: sessionEpoch, incarnation },
      'peer status changed',
    );
  }
}
