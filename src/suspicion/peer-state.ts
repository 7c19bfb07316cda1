/** @file What this controller holds of one peer, and how observations change it. Pure functions. */
import type { PeerReason, PeerStatus } from '../protocol/peer-view';
import type { SuspicionOptions } from './options';

/** How long a refuted suspicion stays visible before the peer counts as alive like any other. */
const REFUTED_FOR_MS = 10_000;

/** What this controller holds of a peer. */
export interface PeerState {
  readonly status: PeerStatus;
  readonly reason: PeerReason;
  /** Steady time of the last change of status. */
  readonly since: number;
  /** The peer's session that spoke last: the revision at which its controller record was written; 0 when unknown. */
  readonly sessionEpoch: number;
  /** Within the session; a peer raises it to refute a suspicion. */
  readonly incarnation: number;
  /** Running time of this process when the last heartbeat arrived; undefined before the first. */
  readonly lastHeartbeatRunningMs: number | undefined;
}

/** A heartbeat of the peer arrived. */
export interface HeartbeatObservation {
  readonly kind: 'heartbeat';
  /** 0 when the heartbeat does not say. */
  readonly sessionEpoch: number;
  readonly incarnation: number;
  /** Running time of this process when it arrived. */
  readonly runningMs: number;
}

/** What was observed of a peer. */
export type PeerObservation =
  | HeartbeatObservation
  /** No heartbeat for longer than can be by chance. */
  | { readonly kind: 'silence' }
  /** Another controller received a heartbeat of the peer a moment ago. */
  | { readonly kind: 'indirect heartbeat'; readonly incarnation: number }
  /** The controller record of the peer is gone: its lease in the key-value store has expired. */
  | { readonly kind: 'session ended' }
  /** There is a controller record of the peer. */
  | { readonly kind: 'session exists' }
  /** Nothing happened; time has passed. */
  | { readonly kind: 'time' };

/** The state of a peer of which nothing is known. */
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

/** The state of a peer that sent a heartbeat just now. Without a session it stays failed, however many it sends. */
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
  // It restarted before its absence was noticed.
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

/** The state after an observation at a steady time. */
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

/** Whether the status speaks against assigning the peer a shard. */
export function isSuspect(status: PeerStatus): boolean {
  return status === 'suspected' || status === 'failed';
}
