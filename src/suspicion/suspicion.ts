/** @file Suspicion of failed controllers: how a controller observes its peers and itself, and what follows from it. */
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

/** What suspicion works on. */
export interface SuspicionContext {
  /** This controller. */
  readonly controllerId: string;
  /** The other controllers, as the settings name them. */
  readonly peers: readonly string[];
  readonly clock: Clock;
  readonly cache: WatchCache;
  readonly log: Log;
}

/** A shard that is to be handed over, and to whom. */
export interface PlannedHandover {
  readonly successor: string;
  readonly reason: PlannedHandoverReason;
}

/**
 * Observes peers and this process, exchanges views with the peers, and ranks controllers. It entitles no controller to
 * act: the right to act stays with lease and fencing token, and the verdict over a peer is the end of its session. All
 * that follows from it is reversible.
 */
export class Suspicion implements PeerLiveness {
  readonly #detector: PeerDetector;
  readonly #rejected: RejectedMessages;
  readonly #moves: MoveLimiter;
  /** The peers whose view of the key-value store was fresh when they sent their last heartbeat. */
  readonly #peersWithFreshView = new Set<string>();
  /** The session of this controller: the revision at which its record was written; 0 before the first. */
  #sessionEpoch = 0;
  /** Raised within a session to refute a suspicion. */
  #incarnation = 0;
  /** Since when most peers have suspected this controller. */
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

  /** One look at the peers and at this process; to be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock, cache, controllerId } = this.context;
    await clock.sleep(TICK_INTERVAL_MS, signal);
    const now = clock.now();
    this.#sessionEpoch = Math.max(this.#sessionEpoch, cache.version(KEY.controller(controllerId)));
    this.#detector.tick(now, (peer) => this.#sessionOf(peer));
    const isSuspected = this.#isSuspectedByMajority(controllerId);
    this.#suspectedSince = isSuspected ? (this.#suspectedSince ?? now) : undefined;
  }

  /** Whether a peer's heartbeat is to be taken in. One that can't be right is counted, and logged once. */
  accepts(heartbeat: PeerHeartbeat): boolean {
    const reason = rejectionReason(heartbeat, this.context.controllerId, this.#detector);
    if (reason !== undefined) this.#rejected.add(reason, heartbeat.from);
    return reason === undefined;
  }

  /** Takes in a heartbeat that was accepted. */
  onHeartbeat({ from, isViewFresh, view }: PeerHeartbeat): void {
    this.#detector.onHeartbeat(from, view, this.context.clock.now());
    if (isViewFresh) this.#peersWithFreshView.add(from);
    else this.#peersWithFreshView.delete(from);
    if (view) this.#refute(view);
  }

  /** Raises the incarnation above one that is suspected; the next heartbeat carries it. */
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

  /** What this controller tells its peers. */
  view(): PeerView {
    return {
      run: this.#sessionEpoch,
      incarnation: this.#incarnation,
      isStalled: this.#isStalled(),
      opinions: this.#detector.opinions(this.context.clock.now()),
    };
  }

  /** The candidates in the order in which they are to own a shard; computed alike by all that hold the same views. */
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

  /** Whether a controller, this one included, is to be assigned nothing by choice. */
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

  /** Whether damping allows a shard whose lease is free to be assigned to another controller than was chosen. */
  allowsReassignment(): boolean {
    return this.#moves.allowsAnyMove(this.context.clock.now());
  }

  /** Whether damping allows a shard to be moved by choice at this moment. */
  allowsMove(shard: number): boolean {
    return this.#moves.allowsMove(shard, this.context.clock.now());
  }

  /**
   * To whom this controller should hand a shard over because it is slow itself; undefined: it should keep it. Only to a
   * peer that sent a heartbeat since the last stall and can itself reach the key-value store: where all are slow, no
   * controller is better.
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

  /** Whether a peer is in a state to own a shard that this controller hands over. */
  #isEligibleSuccessor(peer: string): boolean {
    if (peer === this.context.controllerId || this.isSuspect(peer) || this.isUnresponsive(peer)) return false;
    if (!this.#peersWithFreshView.has(peer) || !this.#detector.views.has(peer)) return false;
    const now = this.context.clock.now();
    const lastStall = this.#recentStalls().at(-1);
    const sinceStallMs = lastStall === undefined ? Infinity : now - lastStall.to;
    return (this.#detector.lastHeartbeatMsAgo(peer, now) ?? Infinity) < sinceStallMs;
  }

  /** What this controller and its peers hold of each other, for operators. */
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

  /** The pauses of this process that count as stalls, within the window. */
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
      'status of a peer changed',
    );
  }
}
