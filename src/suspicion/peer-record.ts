/** @file What this controller holds of one peer, and how observations change it. Pure functions. */
import type { PeerReason, PeerStatus } from '../protocol/peer-view';
import type { SuspicionOptions } from './options';
import { phi, type IntervalDistribution } from './phi';

/** How long a refuted suspicion stays visible before the peer counts as alive like any other. */
const REFUTED_FOR_MS = 10_000;

/**
 * However irregular a peer's heartbeats were, it is suspected after so many times the fixed timeout: a suspicion that comes
 * after the end of the lease, which is the verdict, tells nobody anything.
 */
const MOST_TIMEOUTS = 1.5;

/** What this controller holds of a peer. */
export interface PeerRecord {
  readonly status: PeerStatus;
  readonly reason: PeerReason;
  /** Steady time of the last change of status. */
  readonly since: number;
  /** Which session of the peer was heard last: the revision at which its node record was written; 0 when unknown. */
  readonly run: number;
  /** Within the run; a peer raises it to refute a suspicion. */
  readonly incarnation: number;
  /** Running time of this process when the last heartbeat came; undefined before the first. */
  readonly heardAtRunningMs: number | undefined;
}

/** A periodic message of a peer. */
export interface Heartbeat {
  readonly kind: 'heartbeat';
  readonly run: number;
  readonly incarnation: number;
  /** Running time of this process when it came. */
  readonly runningMs: number;
}

/** What was observed of a peer. */
export type PeerObservation =
  | Heartbeat
  /** No heartbeat for longer than can be by chance. */
  | { readonly kind: 'silence' }
  /** Another controller heard the peer a moment ago. */
  | { readonly kind: 'heard by others'; readonly incarnation: number }
  /** The node record of the peer is gone: its lease in the state service has ended. */
  | { readonly kind: 'session ended' }
  /** There is a node record of the peer. */
  | { readonly kind: 'session exists' }
  /** Nothing happened; time has passed. */
  | { readonly kind: 'time' };

/** A peer of which nothing is known. */
export function unknownPeer(now: number): PeerRecord {
  return {
    status: 'unknown',
    reason: 'none',
    since: now,
    run: 0,
    incarnation: 0,
    heardAtRunningMs: undefined,
  };
}

function change(record: PeerRecord, status: PeerStatus, reason: PeerReason, now: number): PeerRecord {
  if (record.status === status) return record;
  return { ...record, status, reason, since: now };
}

/** The status of a peer that was just heard. A peer without a session stays failed, however loudly it speaks. */
function onHeard(record: PeerRecord, reason: PeerReason, now: number): PeerRecord {
  if (record.status === 'unknown') return change(record, 'alive', reason, now);
  if (record.status === 'suspected') return change(record, 'refuted', reason, now);
  return record;
}

function onHeartbeat(
  record: PeerRecord,
  { run, incarnation, runningMs }: Heartbeat,
  now: number,
): PeerRecord {
  const newest = run === record.run ? Math.max(incarnation, record.incarnation) : incarnation;
  const heard = { ...record, run: run || record.run, incarnation: newest, heardAtRunningMs: runningMs };
  // It was back before anybody missed it.
  const isNewRun = record.run > 0 && run > record.run;
  return isNewRun ? change(heard, 'returned', 'none', now) : onHeard(heard, 'none', now);
}

function onTime(record: PeerRecord, options: SuspicionOptions, now: number): PeerRecord {
  const elapsedMs = now - record.since;
  const isOver =
    (record.status === 'refuted' && elapsedMs >= REFUTED_FOR_MS) ||
    (record.status === 'returned' && elapsedMs >= options.probationMs);
  return isOver ? change(record, 'alive', 'none', now) : record;
}

/** The record after an observation at a steady time. */
export function observe(
  record: PeerRecord,
  observation: PeerObservation,
  options: SuspicionOptions,
  now: number,
): PeerRecord {
  switch (observation.kind) {
    case 'heartbeat':
      return onHeartbeat(record, observation, now);
    case 'silence':
      return record.status === 'failed' ? record : change(record, 'suspected', 'no heartbeat', now);
    case 'heard by others': {
      if (record.status !== 'suspected') return record;
      const incarnation = Math.max(record.incarnation, observation.incarnation);
      return onHeard({ ...record, incarnation }, 'heard by others', now);
    }
    case 'session ended':
      return record.status === 'unknown' ? record : change(record, 'failed', 'lease ended', now);
    case 'session exists':
      return record.status === 'failed' ? change(record, 'returned', 'none', now) : record;
    case 'time':
      return onTime(record, options, now);
  }
}

/** How suspicious the silence of a peer is. */
export interface Silence {
  /** The accrual estimate; undefined while too few heartbeats are known, or with the fixed timeout. */
  readonly phi: number | undefined;
  readonly isSuspicious: boolean;
}

/** Judges a silence of so much running time, by the distribution of the intervals before it. */
export function judgeSilence(
  silentMs: number,
  distribution: IntervalDistribution | undefined,
  options: SuspicionOptions,
): Silence {
  if (options.detector === 'fixed' || distribution === undefined) {
    return { phi: undefined, isSuspicious: silentMs > options.timeoutMs };
  }
  const deviationMs = Math.max(distribution.deviationMs, options.minDeviationMs);
  const estimate = phi(silentMs, { meanMs: distribution.meanMs, deviationMs });
  const isSuspicious = estimate >= options.phiThreshold || silentMs > MOST_TIMEOUTS * options.timeoutMs;
  return { phi: estimate, isSuspicious };
}

/** Whether the status speaks against giving the peer anything. */
export function isSuspect(status: PeerStatus): boolean {
  return status === 'suspected' || status === 'failed';
}
