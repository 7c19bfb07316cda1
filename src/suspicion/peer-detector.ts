/** @file The failure detector: derives each peer's status from heartbeats, silence and other controllers' opinions. */
import type { PeerOpinion, PeerView } from '../protocol/peer-view';
import { HeartbeatIntervals } from './heartbeat-intervals';
import { HEARTBEAT_INTERVAL_MS, type SuspicionOptions } from './options';
import { applyObservation, unknownState, type PeerObservation, type PeerState } from './peer-state';
import { RunningClock } from './running-clock';
import { assessSilence } from './silence';

/** Minimum heartbeat interval that is recorded: messages in quicker succession are one heartbeat or were buffered. */
const MIN_HEARTBEAT_INTERVAL_MS = HEARTBEAT_INTERVAL_MS / 10;
/** A view expires after this much running time without a heartbeat of its sender. */
const MAX_VIEW_AGE_MS = 3 * HEARTBEAT_INTERVAL_MS;
/**
 * A peer is not suspected while another controller reports a heartbeat of the peer that is no older than this. Peers
 * send a heartbeat every second, so while a peer is up, a newer one is reported. Only heartbeats that the reporting
 * controller received itself count, or else two controllers could keep confirming a failed peer to each other.
 */
const MAX_INDIRECT_HEARTBEAT_AGE_MS = 2.5 * HEARTBEAT_INTERVAL_MS;

/** A change of a peer's status. */
export interface StatusChange {
  readonly peer: string;
  readonly before: PeerState;
  readonly after: PeerState;
}

/** The detector's state for one peer. */
interface ObservedPeer {
  readonly name: string;
  state: PeerState;
  readonly intervals: HeartbeatIntervals;
  view: PeerView | undefined;
  /** Monotonic time of the peer's latest heartbeat; undefined before the first. */
  lastHeartbeatAt: number | undefined;
}

/** Whether the key-value store contains the record of a peer's session. `unknown`: the watch cache is not loaded. */
export type SessionState = 'exists' | 'ended' | 'unknown';

function newPeer(name: string, now: number): ObservedPeer {
  return {
    name,
    state: unknownState(now),
    intervals: new HeartbeatIntervals(),
    view: undefined,
    lastHeartbeatAt: undefined,
  };
}

/**
 * Detects failures of peers. Observes only peers that the settings name, so memory use is bounded. A suspicion gives no
 * controller authority over a shard. A peer's status becomes `failed` only when its session in the key-value store
 * has ended.
 */
export class PeerDetector {
  readonly #peers: ReadonlyMap<string, ObservedPeer>;
  readonly #runningClock: RunningClock;
  /** The cached result of `views`; reset by each tick and heartbeat. */
  #currentViews: ReadonlyMap<string, PeerView> | undefined;

  constructor(
    peers: readonly string[],
    private readonly options: SuspicionOptions,
    startedAt: number,
    private readonly onChange: (change: StatusChange) => void,
  ) {
    this.#runningClock = new RunningClock(startedAt);
    this.#peers = new Map(peers.map((name) => [name, newPeer(name, startedAt)]));
  }

  /** The clock that measures the time without a heartbeat. */
  get runningClock(): RunningClock {
    return this.#runningClock;
  }

  /** Whether the settings name this peer. */
  has(name: string): boolean {
    return this.#peers.has(name);
  }

  /** The state of a peer; undefined if the settings do not name it. */
  state(name: string): PeerState | undefined {
    return this.#peers.get(name)?.state;
  }

  /** The views that have not expired, by the peers that sent them. */
  get views(): ReadonlyMap<string, PeerView> {
    this.#currentViews ??= this.#selectViews();
    return this.#currentViews;
  }

  #selectViews(): ReadonlyMap<string, PeerView> {
    const views = new Map<string, PeerView>();
    for (const peer of this.#peers.values()) {
      const silentMs = this.#silentMs(peer);
      const isCurrent = silentMs !== undefined && silentMs <= MAX_VIEW_AGE_MS;
      if (isCurrent && peer.view) views.set(peer.name, peer.view);
    }
    return views;
  }

  /** Applies a received heartbeat, with the sender's view if it contains one. */
  onHeartbeat(name: string, view: PeerView | undefined, now: number): void {
    const peer = this.#peers.get(name);
    if (!peer) return;
    const intervalMs = this.#silentMs(peer);
    if (intervalMs !== undefined && intervalMs >= MIN_HEARTBEAT_INTERVAL_MS) peer.intervals.add(intervalMs);
    peer.view = view ?? peer.view;
    peer.lastHeartbeatAt = now;
    const heartbeat: PeerObservation = {
      kind: 'heartbeat',
      sessionEpoch: view?.run ?? 0,
      incarnation: view?.incarnation ?? 0,
      runningMs: this.#runningClock.runningMs,
    };
    this.#applyObservation(peer, heartbeat, now);
    this.#currentViews = undefined;
  }

  /** Updates all peers at the monotonic time `now`; `sessionOf` looks up a session. Called every `TICK_INTERVAL_MS`. */
  tick(now: number, sessionOf: (name: string) => SessionState): void {
    this.#runningClock.tick(now);
    this.#currentViews = undefined;
    for (const peer of this.#peers.values()) {
      const session = sessionOf(peer.name);
      if (session === 'ended') this.#applyObservation(peer, { kind: 'session ended' }, now);
      if (session === 'exists') this.#applyObservation(peer, { kind: 'session exists' }, now);
      this.#checkSilence(peer, now);
      this.#applyObservation(peer, { kind: 'time' }, now);
    }
  }

  /** Whether the peer's heartbeats to this controller are overdue or never came, whatever other controllers receive. */
  isUnresponsive(name: string): boolean {
    const peer = this.#peers.get(name);
    return !peer || this.#isUnresponsive(peer);
  }

  /** The phi estimate of the peer's current silence; undefined if none can be made. */
  phi(name: string): number | undefined {
    const peer = this.#peers.get(name);
    const silentMs = peer && this.#silentMs(peer);
    if (!peer || silentMs === undefined) return undefined;
    return assessSilence(silentMs, peer.intervals.distribution, this.options).phi;
  }

  /** Time since this controller received the peer's last heartbeat; undefined if it never received one. */
  lastHeartbeatMsAgo(name: string, now: number): number | undefined {
    const at = this.#peers.get(name)?.lastHeartbeatAt;
    return at === undefined ? undefined : now - at;
  }

  /** This controller's opinions on its peers, for its heartbeat. */
  opinions(now: number): PeerOpinion[] {
    return [...this.#peers.values()].map(({ name, state }) => ({
      node: name,
      status: state.status,
      reason: state.reason,
      forMs: now - state.since,
      run: state.sessionEpoch,
      incarnation: state.incarnation,
      heardMsAgo: this.lastHeartbeatMsAgo(name, now),
    }));
  }

  #silentMs({ state }: ObservedPeer): number | undefined {
    return state.lastHeartbeatRunningMs === undefined
      ? undefined
      : this.#runningClock.runningMs - state.lastHeartbeatRunningMs;
  }

  #isUnresponsive(peer: ObservedPeer): boolean {
    const silentMs = this.#silentMs(peer);
    if (silentMs === undefined) return true;
    return assessSilence(silentMs, peer.intervals.distribution, this.options).isSuspicious;
  }

  /** Suspects an unresponsive peer, unless another controller recently received a heartbeat of it (the link failed). */
  #checkSilence(peer: ObservedPeer, now: number): void {
    if (!this.#isUnresponsive(peer) || peer.state.status === 'unknown') return;
    const incarnation = this.#incarnationSeenByOthers(peer, now);
    if (incarnation === undefined) this.#applyObservation(peer, { kind: 'silence' }, now);
    else this.#applyObservation(peer, { kind: 'indirect heartbeat', incarnation }, now);
  }

  /** The peer's newest incarnation of which another controller recently received a heartbeat; undefined if none did. */
  #incarnationSeenByOthers({ name, state }: ObservedPeer, now: number): number | undefined {
    let newest: number | undefined;
    for (const observer of this.#peers.values()) {
      if (observer.name === name || !observer.view || observer.view.isStalled) continue;
      const viewAgeMs = now - (observer.lastHeartbeatAt ?? -Infinity);
      for (const { node, run, incarnation, heardMsAgo = Infinity } of observer.view.opinions) {
        if (node !== name || run < state.sessionEpoch) continue;
        if (heardMsAgo + viewAgeMs > MAX_INDIRECT_HEARTBEAT_AGE_MS) continue;
        newest = Math.max(newest ?? incarnation, incarnation);
      }
    }
    return newest;
  }

  #applyObservation(peer: ObservedPeer, observation: PeerObservation, now: number): void {
    const before = peer.state;
    const after = applyObservation(before, observation, this.options, now);
    peer.state = after;
    if (after.status !== before.status) this.onChange({ peer: peer.name, before, after });
  }
}
