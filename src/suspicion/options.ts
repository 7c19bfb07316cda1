/** @file The operators' settings of suspicion: the table `[suspicion]` of their options file. */
import * as z from 'zod';
import { readOperatorTable } from '../base/operator-table';
import type { Settings } from '../base/settings';
import { silenceMsForThreshold } from './phi';

/** Time between two heartbeats of a controller (`PeerHeartbeat`), in milliseconds. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
const MS_PER_S = 1_000;
/** A fixed timeout has to outlast one lost heartbeat. */
const MIN_TIMEOUT_S = 1.5;

/** The table as it may stand in the options file; a file without it leaves suspicion off. */
export const suspicionSchema = z.strictObject({
  enabled: z.boolean(),
  /** `phi` adapts to each peer's heartbeats; `fixed` goes by `timeout_s` alone. */
  detector: z.enum(['phi', 'fixed']).default('phi'),
  /** A peer is suspected when the chance that its heartbeat is merely late is below 10 to the power of minus this. */
  phi_threshold: z.number().min(1).max(16).default(8),
  /** The least standard deviation that heartbeat intervals are taken to have. */
  min_deviation_s: z.number().positive().max(5).default(0.2),
  /** Silence after which a peer is suspected while too few of its heartbeats are known, or with `fixed`. */
  timeout_s: z.number().min(MIN_TIMEOUT_S).max(60).default(2.5),
  /** A pause of this process that counts as a stall. */
  stall_s: z.number().positive().max(60).default(1.5),
  /** So many stalls within the window make a controller hand its shards over. */
  stalls: z.int().min(1).max(100).default(3),
  stall_window_s: z.number().positive().max(600).default(30),
  /** A controller that most peers suspect for so long, though it receives their heartbeats, hands its shards over. */
  give_up_after_s: z.number().positive().max(60).default(3),
  /** Shards that suspicion may move in a minute. */
  moves_per_minute: z.int().min(0).max(60).default(4),
  /** A controller that returned is assigned no shard by choice for so long. */
  probation_s: z.number().min(0).max(600).default(10),
  /** Writes spans of handovers to the log. */
  trace: z.boolean().default(false),
});

/** The checked table. */
export type SuspicionTable = z.infer<typeof suspicionSchema>;

/** The settings as suspicion uses them. Times in milliseconds. */
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
  /** Spans of handovers are written to the log. */
  readonly isTraced: boolean;
}

/** Reads and checks the table; undefined when suspicion is off. Throws `SettingsError` with the file and the key. */
export function readSuspicionOptions(settings: Settings): SuspicionOptions | undefined {
  const table = readOperatorTable('suspicion', settings, suspicionSchema, (checked) =>
    findContradiction(checked, settings.shardLeaseMs / MS_PER_S),
  );
  return table?.enabled ? toOptions(table) : undefined;
}

/** What follows from the settings, for `check-config`; null when suspicion is off. Times in milliseconds. */
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

/** How long it takes, for peers whose heartbeats are regular. */
interface SuspicionTimes {
  /** From the last heartbeat to the suspicion. */
  readonly suspectedAfterMs: number;
  /** From the last renewal to the expiry of the lease, which is the verdict. */
  readonly verdictAfterMs: number;
}

/** Settings that contradict each other, with the key at fault; `shardLeaseS` is the lease that follows from the settings. */
function findContradiction(table: SuspicionTable, shardLeaseS: number): string | undefined {
  // The expiry of the lease is the verdict: a suspicion or a handover that comes after it is of no use.
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
