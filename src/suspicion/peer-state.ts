/** @file The state machine of one peer's status. Pure functions. */
import type { Uint64 } from '../base/uint64';
import type { PeerReason, PeerStatus } from '../protocol/peer-view';
import type { SuspicionOptions } from './options';

/** Time after which the status of a peer changes from `refuted` to `alive`. */
const REFUTED_FOR_MS = 10_000;

/** The status of a peer as seen by this controller, and the state from which it follows. */
export interface PeerState {
  readonly status: PeerStatus;
  readonly reason: PeerReason;
  /** Monotonic time of the last change of status. */
  readonly since: number;
  /** The session epoch that the peer sent: the revision at which its controller record was written; 0 if unknown. */
  readonly sessionEpoch: Uint64;
  /** Counter within a session, which the peer raises to refute a suspicion. */
  readonly incarnation: number;
  /** Running time of this process at the arrival of the last heartbeat; undefined before the first. */
  readonly lastHeartbeatRunningMs: number | undefined;
}

/** A heartbeat of the peer arrived. */
export interface HeartbeatObservation {
  readonly kind: 'heartbeat';
  /** 0 if the heartbeat contains no session epoch. */
  readonly sessionEpoch: Uint64;
  readonly incarnation: number;
  /** Running time of this process at the arrival of the heartbeat. */
  readonly runningMs: number;
}

/** An event that may change the status of a peer. */
export type PeerObservation =
  | HeartbeatObservation
  /** No heartbeat for longer than the failure detector tolerates. */
  | { readonly kind: 'silence' }
  /** Another controller recently received a heartbeat of the peer. */
  | { readonly kind: 'indirect heartbeat'; readonly incarnation: number }
  /** The key-value store contains no controller record of the peer: the peer's lease has expired. */
  | { readonly kind: 'session ended' }
  /** The key-value store contains a controller record of the peer. */
  | { readonly kind: 'session exists' }
  /** A tick: only time has passed. */
  | { readonly kind: 'time' };

/** The initial state of a peer. */
export function unknownState(now: number): PeerState {
  return {
    status: 'unknown',
    reason: 'none',
    since: now,
    sessionEpoch: 0,
    incarnation: 0,
    lastHeartbeatRunningMs: undefined,
  };
}

function withStatus(state: PeerState, status: PeerStatus, reason: PeerReason, now: number): PeerState {
  if (state.status === status) return state;
  return { ...state, status, reason, since: now };
}

/** The state after a direct or indirect heartbeat. A failed peer stays failed until it has a new session. */
function onAnyHeartbeat(state: PeerState, reason: PeerReason, now: number): PeerState {
  if (state.status === 'unknown') return withStatus(state, 'alive', reason, now);
  if (state.status === 'suspected') return withStatus(state, 'refuted', reason, now);
  return state;
}

function onHeartbeat(state: PeerState, heartbeat: HeartbeatObservation, now: number): PeerState {
  const { sessionEpoch, incarnation, runningMs } = heartbeat;
  const isSameSession = sessionEpoch === state.sessionEpoch;
  const next: PeerState = {
    ...state,
    sessionEpoch: sessionEpoch || state.sessionEpoch,
    incarnation: isSameSession ? Math.max(incarnation, state.incarnation) : incarnation,
    lastHeartbeatRunningMs: runningMs,
  };
  // The peer restarted, and the end of its earlier session was not noticed.
  const isNewSession = state.sessionEpoch > 0 && sessionEpoch > state.sessionEpoch;
  return isNewSession ? withStatus(next, 'returned', 'none', now) : onAnyHeartbeat(next, 'none', now);
}

function onIndirectHeartbeat(state: PeerState, reported: number, now: number): PeerState {
  if (state.status !== 'suspected') return state;
  const incarnation = Math.max(state.incarnation, reported);
  return onAnyHeartbeat({ ...state, incarnation }, 'heard by others', now);
}

function onTime(state: PeerState, options: SuspicionOptions, now: number): PeerState {
  const elapsedMs = now - state.since;
  const hasElapsed =
    (state.status === 'refuted' && elapsedMs >= REFUTED_FOR_MS) ||
    (state.status === 'returned' && elapsedMs >= options.probationMs);
  return hasElapsed ? withStatus(state, 'alive', 'none', now) : state;
}

/** The state after an observation at the monotonic time `now`. */
export function applyObservation(
  state: PeerState,
  observation: PeerObservation,
  options: SuspicionOptions,
  now: number,
): PeerState {
  switch (observation.kind) {
    case 'heartbeat':
      return onHeartbeat(state, observation, now);
    case 'silence':
      return state.status === 'failed' ? state : withStatus(state, 'suspected', 'no heartbeat', now);
    case 'indirect heartbeat':
      return onIndirectHeartbeat(state, observation.incarnation, now);
    case 'session ended':
      return state.status === 'unknown' ? state : withStatus(state, 'failed', 'lease ended', now);
    case 'session exists':
      return state.status === 'failed' ? withStatus(state, 'returned', 'none', now) : state;
    case 'time':
      return onTime(state, options, now);
  }
}

/** Whether the status makes the peer a suspect, so that other controllers are preferred as shard owners. */
export function isSuspect(status: PeerStatus): boolean {
  return status === 'suspected' || status === 'failed';
}
