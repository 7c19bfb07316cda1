/** @file The failure detector: turns heartbeats, silence and what other controllers heard into a status for each peer. */
import type { PeerOpinion, PeerView } from '../protocol/peer-view';
import { HeartbeatIntervals } from './heartbeat-intervals';
import { HEARTBEAT_MS, type SuspicionOptions } from './options';
import { judgeSilence, observe, unknownPeer, type PeerObservation, type PeerRecord } from './peer-record';
import { RunningClock } from './running-clock';

/** Messages of a peer that come closer together belong to one heartbeat, or lay in a buffer together. */
const SAME_HEARTBEAT_MS = HEARTBEAT_MS / 10;
/** A view counts for so many heartbeats of running time. */
const VIEW_LIFETIME_MS = 3 * HEARTBEAT_MS;
/**
 * What another controller heard counts for so long. By then it has told this one of the next heartbeat, if there was one:
 * both come once a second. What others merely were told doesn't count, so no hearsay goes round in a circle.
 */
const HEARSAY_MS = 2.5 * HEARTBEAT_MS;

/** A status changed. */
export interface StatusChange {
  readonly node: string;
  readonly before: PeerRecord;
  readonly after: PeerRecord;
}

/** What is kept of one peer. */
interface Peer {
  record: PeerRecord;
  readonly intervals: HeartbeatIntervals;
  view: PeerView | undefined;
  /** Steady time of the latest heartbeat. */
  heardAt: number | undefined;
}

/** What the records in the state service say of a peer's session. `unknown`: they are not loaded. */
export type SessionState = 'exists' | 'ended' | 'unknown';

/**
 * Observes the peers that the settings name, and no others, so its memory is bounded. It only ever suspects: nothing that
 * it says entitles anybody to act. A verdict is the end of the peer's session in the state service, which it takes in as
 * `failed`.
 */
export class PeerDetector {
  readonly #peers: ReadonlyMap<string, Peer>;
  readonly #running: RunningClock;

  constructor(
    nodes: readonly string[],
    private readonly options: SuspicionOptions,
    startedAt: number,
    private readonly onChange: (change: StatusChange) => void,
  ) {
    this.#running = new RunningClock(startedAt);
    this.#peers = new Map(
      nodes.map((node) => [
        node,
        {
          record: unknownPeer(startedAt),
          intervals: new HeartbeatIntervals(),
          view: undefined,
          heardAt: undefined,
        },
      ]),
    );
  }

  /** The clock of evidence; silence is measured in its time. */
  get running(): RunningClock {
    return this.#running;
  }

  /** Whether the settings name this peer. */
  has(node: string): boolean {
    return this.#peers.has(node);
  }

  /** What is held of a peer. */
  record(node: string): PeerRecord | undefined {
    return this.#peers.get(node)?.record;
  }

  /** The peer's latest view, unless it is too old to count. */
  view(node: string): PeerView | undefined {
    const peer = this.#peers.get(node);
    const silentMs = peer && this.#silentMs(peer);
    return silentMs !== undefined && silentMs <= VIEW_LIFETIME_MS ? peer?.view : undefined;
  }

  /** The views that count, by the peers that sent them. */
  get views(): ReadonlyMap<string, PeerView> {
    const views = new Map<string, PeerView>();
    for (const node of this.#peers.keys()) {
      const view = this.view(node);
      if (view) views.set(node, view);
    }
    return views;
  }

  /** A heartbeat, with the sender's view where it sent one. */
  onHeartbeat(node: string, view: PeerView | undefined, now: number): void {
    const peer = this.#peers.get(node);
    if (!peer) return;
    const intervalMs = this.#silentMs(peer);
    if (intervalMs !== undefined && intervalMs >= SAME_HEARTBEAT_MS) peer.intervals.add(intervalMs);
    peer.view = view ?? peer.view;
    peer.heardAt = now;
    const { run = 0, incarnation = 0 } = view ?? {};
    const { runningMs } = this.#running;
    this.#observe(node, peer, { kind: 'heartbeat', run, incarnation, runningMs }, now);
  }

  /** Looks at all peers at a steady time; `sessionOf` tells what the records say. To be called every `TICK_MS`. */
  tick(now: number, sessionOf: (node: string) => SessionState): void {
    this.#running.tick(now);
    for (const [node, peer] of this.#peers) {
      const session = sessionOf(node);
      if (session === 'ended') this.#observe(node, peer, { kind: 'session ended' }, now);
      if (session === 'exists') this.#observe(node, peer, { kind: 'session exists' }, now);
      this.#judge(node, peer, now);
      this.#observe(node, peer, { kind: 'time' }, now);
    }
  }

  /** Whether this controller itself does not hear the peer. */
  isSilent(node: string): boolean {
    const peer = this.#peers.get(node);
    return !peer || this.#isSilent(peer);
  }

  /** How long the peer has been silent in running time, and how suspicious that is. */
  silence(node: string): { silentMs: number | undefined; phi: number | undefined } {
    const peer = this.#peers.get(node);
    const silentMs = peer && this.#silentMs(peer);
    if (!peer || silentMs === undefined) return { silentMs: undefined, phi: undefined };
    return { silentMs, phi: judgeSilence(silentMs, peer.intervals.distribution, this.options).phi };
  }

  /** What this controller holds of its peers, for the others. */
  opinions(now: number): PeerOpinion[] {
    return [...this.#peers].map(([node, { record, heardAt }]) => ({
      node,
      status: record.status,
      reason: record.reason,
      forMs: now - record.since,
      run: record.run,
      incarnation: record.incarnation,
      heardMsAgo: heardAt === undefined ? undefined : now - heardAt,
    }));
  }

  #silentMs({ record }: Peer): number | undefined {
    return record.heardAtRunningMs === undefined
      ? undefined
      : this.#running.runningMs - record.heardAtRunningMs;
  }

  #isSilent(peer: Peer): boolean {
    const silentMs = this.#silentMs(peer);
    return (
      silentMs === undefined || judgeSilence(silentMs, peer.intervals.distribution, this.options).isSuspicious
    );
  }

  /** A silence is suspicious unless another controller heard the peer meanwhile: then only the link to it is cut. */
  #judge(node: string, peer: Peer, now: number): void {
    if (!this.#isSilent(peer) || peer.record.status === 'unknown') return;
    const incarnation = this.#heardByOthers(node, peer.record, now);
    if (incarnation === undefined) this.#observe(node, peer, { kind: 'silence' }, now);
    else this.#observe(node, peer, { kind: 'heard by others', incarnation }, now);
  }

  /** The newest incarnation in which another controller heard the peer a moment ago; undefined when none did. */
  #heardByOthers(node: string, { run }: PeerRecord, now: number): number | undefined {
    const heard = [...this.#peers]
      .filter(([from]) => from !== node)
      .flatMap(([, { view, heardAt = -Infinity }]) =>
        view && !view.isStalled
          ? view.opinions.map((opinion) => ({ opinion, viewAgeMs: now - heardAt }))
          : [],
      )
      .filter(({ opinion }) => opinion.node === node && opinion.run >= run)
      .filter(({ opinion, viewAgeMs }) => (opinion.heardMsAgo ?? Infinity) + viewAgeMs <= HEARSAY_MS);
    return heard.length === 0 ? undefined : Math.max(...heard.map(({ opinion }) => opinion.incarnation));
  }

  #observe(node: string, peer: Peer, observation: PeerObservation, now: number): void {
    const before = peer.record;
    const after = observe(before, observation, this.options, now);
    peer.record = after;
    if (after.status !== before.status) this.onChange({ node, before, after });
  }
}
