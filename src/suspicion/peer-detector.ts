/** @file The failure detector: turns heartbeats, silence and the opinions of other controllers into a status for each peer. */
import type { PeerOpinion, PeerView } from '../protocol/peer-view';
import { HeartbeatIntervals } from './heartbeat-intervals';
import { HEARTBEAT_INTERVAL_MS, type SuspicionOptions } from './options';
import { applyObservation, unknownState, type PeerObservation, type PeerState } from './peer-state';
import { RunningClock } from './running-clock';
import { assessSilence } from './silence';

/** Messages of a peer that arrive closer together belong to one heartbeat, or waited in a buffer together. */
const MIN_HEARTBEAT_INTERVAL_MS = HEARTBEAT_INTERVAL_MS / 10;
/** A view counts for so many heartbeats of running time. */
const MAX_VIEW_AGE_MS = 3 * HEARTBEAT_INTERVAL_MS;
/**
 * A heartbeat that another controller received counts for so long. By then that controller has reported the next one, if
 * there was one: both come once a second. What others merely know from others doesn't count, so that no hearsay goes round
 * in a circle.
 */
const MAX_INDIRECT_HEARTBEAT_AGE_MS = 2.5 * HEARTBEAT_INTERVAL_MS;

/** The status of a peer changed. */
export interface StatusChange {
  readonly peer: string;
  readonly before: PeerState;
  readonly after: PeerState;
}

/** What is kept of one peer. */
interface ObservedPeer {
  readonly name: string;
  state: PeerState;
  readonly intervals: HeartbeatIntervals;
  view: PeerView | undefined;
  /** Steady time of the latest heartbeat. */
  lastHeartbeatAt: number | undefined;
}

/** What the records in the key-value store say of a peer's session. `unknown`: they are not loaded. */
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
 * Observes the peers that the settings name, and no others, so its memory is bounded. It only ever suspects: nothing that
 * it says entitles a controller to act. A verdict is the end of the peer's session in the key-value store, which it takes
 * in as `failed`.
 */
export class PeerDetector {
  readonly #peers: ReadonlyMap<string, ObservedPeer>;
  readonly #runningClock: RunningClock;
  /** The views that count, until a tick or a heartbeat may change which do. */
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

  /** The clock of evidence; silence is measured in its time. */
  get runningClock(): RunningClock {
    return this.#runningClock;
  }

  /** Whether the settings name this peer. */
  has(name: string): boolean {
    return this.#peers.has(name);
  }

  /** What is held of a peer. */
  state(name: string): PeerState | undefined {
    return this.#peers.get(name)?.state;
  }

  /** The views that count, by the peers that sent them: those that are not too old. */
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

  /** A heartbeat arrived, with the sender's view where it sent one. */
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

  /** Looks at all peers at a steady time; `sessionOf` tells what the records say. To be called every `TICK_MS`. */
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

  /** Whether this controller itself receives no heartbeats of the peer. */
  isUnresponsive(name: string): boolean {
    const peer = this.#peers.get(name);
    return !peer || this.#isUnresponsive(peer);
  }

  /** How suspicious the peer's present silence is; undefined where no estimate is made. */
  phi(name: string): number | undefined {
    const peer = this.#peers.get(name);
    const silentMs = peer && this.#silentMs(peer);
    if (!peer || silentMs === undefined) return undefined;
    return assessSilence(silentMs, peer.intervals.distribution, this.options).phi;
  }

  /** How long ago this controller received the peer's last heartbeat; undefined: it never did. */
  lastHeartbeatMsAgo(name: string, now: number): number | undefined {
    const at = this.#peers.get(name)?.lastHeartbeatAt;
    return at === undefined ? undefined : now - at;
  }

  /** What this controller holds of its peers, for the others. */
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

  /** A silence is suspicious unless another controller received a heartbeat meanwhile: then only the link here is cut. */
  #checkSilence(peer: ObservedPeer, now: number): void {
    if (!this.#isUnresponsive(peer) || peer.state.status === 'unknown') return;
    const incarnation = this.#incarnationSeenByOthers(peer, now);
    if (incarnation === undefined) this.#applyObservation(peer, { kind: 'silence' }, now);
    else this.#applyObservation(peer, { kind: 'indirect heartbeat', incarnation }, now);
  }

  /** The newest incarnation of which another controller received a heartbeat a moment ago; undefined when none did. */
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
