/** @file Suspicion of failed controllers: the part of a node that observes its peers and itself, and tells the others. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import { KEY, PREFIX, read } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { PeerView } from '../protocol/peer-view';
import type { PeerHeartbeat } from '../protocol/peers';
import type { ChangeEvent } from '../protocol/key-value-store';
import { isStalled, isSuspectedByMost, whyGiveUp, type GiveUpReason } from './give-up';
import { MoveLimiter } from './move-limiter';
import type { SuspicionOptions } from './options';
import { PeerDetector, type SessionState, type StatusChange } from './peer-detector';
import type { PeerLiveness } from './peer-liveness';
import { isSuspect } from './peer-record';
import { peersReport, type PeersReport } from './peers-report';
import { RejectedMessages, type RejectionReason } from './rejected-messages';
import { TICK_MS, type Pause } from './running-clock';
import { rankCandidates, type Candidate } from './successor';

/** What suspicion works on. */
export interface SuspicionContext {
  /** This controller. */
  readonly node: string;
  /** The other controllers, as the settings name them. */
  readonly peers: readonly string[];
  readonly clock: Clock;
  readonly cache: WatchCache;
  readonly log: Log;
}

/** A shard that is to be handed over, and to whom. */
export interface PlannedHandover {
  readonly successor: string;
  readonly reason: GiveUpReason;
}

/** A controller that may own shards, before suspicion has its say. */
export type Contender = Pick<Candidate, 'node' | 'shards' | 'isUpgraded'>;

/**
 * Observes peers and this process, exchanges views with the peers, and ranks controllers. It entitles nobody to act: the
 * right to act stays with lease and fencing token, and the verdict over a peer is the end of its session. All that
 * follows from it is reversible.
 */
export class Suspicion implements PeerLiveness {
  readonly #detector: PeerDetector;
  readonly #rejected: RejectedMessages;
  readonly #moves: MoveLimiter;
  /** The peers whose view of the state service was fresh when they spoke last. */
  readonly #fresh = new Set<string>();
  #run = 0;
  #incarnation = 0;
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
      this.#onRecord(event);
    });
  }

  /** One look at the peers and at this process; to be run in a loop. */
  async step(signal: AbortSignal): Promise<void> {
    const { clock, cache, node, peers } = this.context;
    await clock.sleep(TICK_MS, signal);
    const now = clock.now();
    this.#run = Math.max(this.#run, cache.version(KEY.controller(node)));
    this.#detector.tick(now, (peer) => this.#sessionOf(peer));
    const isSuspected = isSuspectedByMost({ node, run: this.#run }, this.#detector.views, peers.length);
    this.#suspectedSince = isSuspected ? (this.#suspectedSince ?? now) : undefined;
  }

  /** Whether a peer's message is to be taken in. Drops, counts and logs once what can't be right. */
  accepts({ from, view, isViewMalformed = false }: PeerHeartbeat): boolean {
    const reason = this.#whyRejected(from, view, isViewMalformed);
    if (reason !== undefined) this.#rejected.add(reason, from);
    return reason === undefined;
  }

  #whyRejected(
    from: string,
    view: PeerView | undefined,
    isViewMalformed: boolean,
  ): RejectionReason | undefined {
    const record = this.#detector.record(from);
    if (!record || view?.opinions.some(({ node }) => !this.#isKnown(node))) return 'unknown node';
    if (isViewMalformed) return 'malformed view';
    if (!view || view.run === 0) return undefined;
    if (view.run < record.run) return 'earlier run';
    if (view.run === record.run && view.incarnation < record.incarnation) return 'earlier incarnation';
    return undefined;
  }

  #isKnown(node: string): boolean {
    return node === this.context.node || this.#detector.has(node);
  }

  /** Takes in a periodic message that was accepted. */
  onHeartbeat({ from, isViewFresh, view }: PeerHeartbeat): void {
    this.#detector.onHeartbeat(from, view, this.context.clock.now());
    if (isViewFresh) this.#fresh.add(from);
    else this.#fresh.delete(from);
    for (const opinion of view?.opinions ?? []) {
      const isAboutThis = opinion.node === this.context.node && opinion.run >= this.#run;
      if (!isAboutThis || opinion.status !== 'suspected') continue;
      // Raised above what is suspected, and told with the next message: a refutation.
      this.#incarnation = Math.max(this.#incarnation, opinion.incarnation + 1);
    }
  }

  isSilent(node: string): boolean {
    return this.#detector.isSilent(node);
  }

  /** What this controller tells its peers. */
  view(): PeerView {
    const { clock } = this.context;
    const opinions = this.#detector.opinions(clock.now());
    return { run: this.#run, incarnation: this.#incarnation, isStalled: this.#isStalled(), opinions };
  }

  /** The contenders in the order in which they are to own a shard; computed alike by all that hold the same views. */
  rank(shard: number, contenders: readonly Contender[]): string[] {
    const candidates = contenders.map((contender) => ({
      ...contender,
      isSuspect: this.isSuspect(contender.node),
      wasHolder: contender.node === this.#holderOf(shard),
      isOnProbation: this.#detector.record(contender.node)?.status === 'returned',
    }));
    return rankCandidates(shard, candidates).map(({ node }) => node);
  }

  /** Whether a controller, this one included, is to be given nothing by choice. */
  isSuspect(node: string): boolean {
    const run = node === this.context.node ? this.#run : (this.#detector.record(node)?.run ?? 0);
    const views = this.#detector.views;
    if (node === this.context.node) {
      return this.#isStalled() || isSuspectedByMost({ node, run }, views, this.context.peers.length);
    }
    const status = this.#detector.record(node)?.status ?? 'unknown';
    return (
      isSuspect(status) ||
      views.get(node)?.isStalled === true ||
      isSuspectedByMost({ node, run }, views, this.context.peers.length)
    );
  }

  /** Whether damping allows a shard that nobody holds to be given to another than was chosen. */
  mayChooseAgain(): boolean {
    return this.#moves.allowsAny(this.context.clock.now());
  }

  /** Whether damping allows a shard to be moved by choice at this moment. */
  mayMove(shard: number): boolean {
    return this.#moves.allows(shard, this.context.clock.now());
  }

  /**
   * To whom this controller should hand a shard over because it is slow itself; undefined: it should keep it. Only to a
   * peer that was heard since the last stall and can itself reach the state service: where all are slow, nobody is better.
   */
  plannedHandover(shard: number, contenders: readonly Contender[]): PlannedHandover | undefined {
    const { clock, node } = this.context;
    const now = clock.now();
    const facts = { node, stalls: this.#stalls(), suspectedSince: this.#suspectedSince };
    const reason = whyGiveUp(facts, this.options, now);
    if (reason === undefined || !this.mayMove(shard)) return undefined;
    const fit = contenders.filter((contender) => this.#isFit(contender.node));
    const [successor] = this.rank(shard, fit);
    return successor === undefined ? undefined : { successor, reason };
  }

  #holderOf(shard: number): string | undefined {
    return read.shard(this.context.cache.get(KEY.shard(shard))?.value)?.holder;
  }

  #isFit(peer: string): boolean {
    if (peer === this.context.node || this.isSuspect(peer) || this.isSilent(peer)) return false;
    const lastStall = this.#stalls().at(-1);
    const heardMsAgo = this.#detector
      .opinions(this.context.clock.now())
      .find(({ node }) => node === peer)?.heardMsAgo;
    const sinceStallMs = lastStall === undefined ? Infinity : this.context.clock.now() - lastStall.to;
    return (
      this.#fresh.has(peer) &&
      this.#detector.view(peer) !== undefined &&
      (heardMsAgo ?? Infinity) < sinceStallMs
    );
  }

  /** What this controller and its peers hold of each other, for operators. */
  report(): PeersReport {
    const { node, clock } = this.context;
    return peersReport({
      node,
      view: this.view(),
      views: this.#detector.views,
      silenceOf: (peer) => this.#detector.silence(peer),
      stalls: this.#stalls().length,
      suspectedForMs: this.#suspectedSince === undefined ? undefined : clock.now() - this.#suspectedSince,
      rejected: this.#rejected.counts,
    });
  }

  #stalls(): Pause[] {
    const { stallWindowMs, stallMs } = this.options;
    return this.#detector.running.pausesSince(this.context.clock.now() - stallWindowMs, stallMs);
  }

  #isStalled(): boolean {
    return isStalled(this.#stalls(), this.options);
  }

  #sessionOf(peer: string): SessionState {
    const { cache } = this.context;
    if (!cache.loaded) return 'unknown';
    return cache.get(KEY.controller(peer)) === undefined ? 'ended' : 'exists';
  }

  #onRecord({ key, ...event }: ChangeEvent): void {
    if (event.deleted || !key.startsWith(PREFIX.shard)) return;
    const record = read.shard(event.value);
    const shard = Number(key.slice(PREFIX.shard.length));
    if (record) this.#moves.onOwner(shard, record.owner, this.context.clock.now());
  }

  #logChange({ node, before, after }: StatusChange): void {
    const { status, reason, run, incarnation } = after;
    this.context.log.info(
      { peer: node, before: before.status, status, reason, run, incarnation },
      'status of a peer changed',
    );
  }
}
