/** @file The operators' settings of suspicion: the table `[suspicion]` of their options file. */
import * as z from 'zod';
import { readOperatorTable } from '../base/operator-table';
import type { Settings } from '../base/settings';
import { silenceMsForThreshold } from './phi';

/** Interval of a controller's heartbeats to its peers (`PeerHeartbeat`). */
export const HEARTBEAT_INTERVAL_MS = 1_000;
const MS_PER_S = 1_000;
/** Minimum of `timeout_s`. It exceeds the heartbeat interval, so that one delayed heartbeat causes no suspicion. */
const MIN_TIMEOUT_S = 1.5;

/** The schema of the table `[suspicion]`. Suspicion is off if the table is missing or `enabled` is false. */
export const suspicionSchema = z.strictObject({
  enabled: z.boolean(),
  /** `phi` adapts to the intervals of each peer's heartbeats; `fixed` uses `timeout_s` only. */
  detector: z.enum(['phi', 'fixed']).default('phi'),
  /** A peer is suspected when the probability that its heartbeat is merely late falls below 10^-phi_threshold. */
  phi_threshold: z.number().min(1).max(16).default(8),
  /** Lower bound on the estimated standard deviation of heartbeat intervals. */
  min_deviation_s: z.number().positive().max(5).default(0.2),
  /** Time without a heartbeat after which a peer is suspected by `fixed`, or by `phi` if it sent too few heartbeats. */
  timeout_s: z.number().min(MIN_TIMEOUT_S).max(60).default(2.5),
  /** Minimum length of a pause of this process that counts as a stall. */
  stall_s: z.number().positive().max(60).default(1.5),
  /** Number of stalls within `stall_window_s` after which a controller hands its shards over. */
  stalls: z.int().min(1).max(100).default(3),
  stall_window_s: z.number().positive().max(600).default(30),
  /** Time for which most peers must have suspected a controller, by their heartbeats, before it hands its shards over. */
  give_up_after_s: z.number().positive().max(60).default(3),
  /** Maximum number of shards that suspicion moves per minute. */
  moves_per_minute: z.int().min(0).max(60).default(4),
  /** Time for which a controller that returned after a failure ranks below otherwise equal candidates for a shard. */
  probation_s: z.number().min(0).max(600).default(10),
  /** Whether spans of handovers are written to the log. */
  trace: z.boolean().default(false),
});

/** The table `[suspicion]` after validation. */
export type SuspicionTable = z.infer<typeof suspicionSchema>;

/** The options of suspicion, derived from the operators' table `[suspicion]`. Times in milliseconds. */
export interface SuspicionOptions {
  readonly detector: 'phi' | 'fixed';
  readonly phiThreshold: number;
  readonly minDeviationMs: number;
  readonly timeoutMs: number;
  readonly stallMs: number;
  readonly stalls: number;
  readonly stallWindowMs: number;
  readonly giveUpAfterMs: number;
  readonly movesPerMinute: number;
  readonly probationMs: number;
  /** Whether spans of handovers are written to the log. */
  readonly isTraced: boolean;
}

/** Reads and checks `[suspicion]`; undefined when suspicion is off. Throws `SettingsError` with the file and the key. */
export function readSuspicionOptions(settings: Settings): SuspicionOptions | undefined {
  const table = readOperatorTable('suspicion', settings, suspicionSchema, (checked) =>
    findContradiction(checked, settings.shardLeaseMs / MS_PER_S),
  );
  return table?.enabled ? toOptions(table) : undefined;
}

/** The options of suspicion and the resulting detection times, for `check-config`; null when suspicion is off. */
export function describeSuspicion(settings: Settings): (SuspicionOptions & SuspicionTimes) | null {
  const options = readSuspicionOptions(settings);
  if (!options) return null;
  const { minDeviationMs, phiThreshold, timeoutMs, detector } = options;
  const regular = { meanMs: HEARTBEAT_INTERVAL_MS, deviationMs: minDeviationMs };
  return {
    ...options,
    suspectedAfterMs: detector === 'fixed' ? timeoutMs : silenceMsForThreshold(phiThreshold, regular),
    verdictAfterMs: settings.shardLeaseMs,
  };
}

/** The detection times for peers with regular heartbeats. */
interface SuspicionTimes {
  /** Time from the last heartbeat to the suspicion. */
  readonly suspectedAfterMs: number;
  /** Time from the last renewal of a peer's lease to the lease's expiry, after which the peer counts as failed. */
  readonly verdictAfterMs: number;
}

/** Describes a contradiction between settings, and names the key at fault. `shardLeaseS`: duration of the shard lease. */
function findContradiction(table: SuspicionTable, shardLeaseS: number): string | undefined {
  // A controller whose lease has expired counts as failed: a later suspicion or handover would have no effect.
  const shorterThanLease = ['timeout_s', 'stall_s', 'give_up_after_s', 'min_deviation_s'] as const;
  const tooLong = shorterThanLease.find((key) => table[key] >= shardLeaseS);
  if (tooLong !== undefined) return `${tooLong}: must be smaller than the block lease, ${shardLeaseS} s`;
  if (table.stall_window_s < table.stalls * table.stall_s) {
    return 'stall_window_s: must hold as many stalls of stall_s as stalls asks for';
  }
  return undefined;
}

function toOptions(table: SuspicionTable): SuspicionOptions {
  return {
    detector: table.detector,
    phiThreshold: table.phi_threshold,
    minDeviationMs: table.min_deviation_s * MS_PER_S,
    timeoutMs: table.timeout_s * MS_PER_S,
    stallMs: table.stall_s * MS_PER_S,
    stalls: table.stalls,
    stallWindowMs: table.stall_window_s * MS_PER_S,
    giveUpAfterMs: table.give_up_after_s * MS_PER_S,
    movesPerMinute: table.moves_per_minute,
    probationMs: table.probation_s * MS_PER_S,
    isTraced: table.trace,
  };
}
