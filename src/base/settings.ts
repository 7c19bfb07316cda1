/** @file The settings of a controller: those of the platform and the operators, and the values derived from them. */
import {
  checkSettings,
  operatorSchema,
  platformSchema,
  SettingsError,
  type OperatorSettings,
  type PlatformSettings,
} from './settings-schema';
import { allocateSockets, type SocketShares } from './sockets';
import { effectiveLimits, readNextLimits, type StateLimits } from './state-limits';
import { throttlingFor, type Throttling } from './throttling';

/** The checked settings, and the values derived from them. */
export interface Settings {
  /** The settings that the platform provided, except that `deployment.state` has the effective limits. */
  platform: PlatformSettings;
  operator: OperatorSettings;
  /** The name of the operators' file, for messages. */
  operatorFile: string;
  /** Longest time that a controller may act on a shard without a response from the key-value store. */
  shardLeaseMs: number;
  /**
   * Time for which the owner, after seeing a cancellation, still renews the lease of a worker that may execute a start
   * command of the cancelled job. The shard lease (within which the owner sees the cancellation), this time and the
   * worker's lease add up to less than `cancel_s`.
   */
  cancellationUncertaintyMs: number;
  sockets: SocketShares;
  /** Limits derived from this controller's share of a core; the operators' own values take precedence. */
  throttling: Throttling;
  /** Lower limits of the key-value store that the platform has announced; undefined if it has announced none. */
  nextStateLimits: Partial<StateLimits> | undefined;
  /** Warnings on values that are ignored or may be too small; each names the setting. */
  warnings: string[];
}

const MAX_SHARD_LEASE_MS = 30_000;
const DEFAULT_SHARD_LEASE_MS = 5_000;
/** Margin between the end of a partitioned owner's last task and the time limit for cancellations. */
const CANCEL_MARGIN_MS = 4_000;
/** Duration of a lease extension that peers grant an owner (`LeaseExtension`). */
export const LEASE_EXTENSION_MS = 2_500;
const MIN_SHARD_LEASE_MS = 2_000;
/** Margin for late timers and messages in flight, by which `cancellationUncertaintyMs` is shortened. */
const IN_FLIGHT_MARGIN_MS = 1_000;
/** Enough memory for 600 machines with the runtime flags in `deploy/service.toml`; figures in docs/PERFORMANCE.md. */
const MIN_MEMORY_MB = 100;
/** The fewest connections with which a controller can work: a few workers, users and the health probe. */
const MIN_INBOUND_CONNECTIONS = 16;

/** The shard lease in milliseconds: set by the operators, or derived from the workers' lease. */
function chooseShardLease(
  { lease_s, cancel_s }: PlatformSettings['deployment']['workers'],
  operator: OperatorSettings,
  [platformFile, operatorFile]: SettingsFiles,
): number {
  // A partitioned owner may renew workers' leases until its shard lease ends; tasks then run for one more worker lease.
  // A cancellation unseen by the owner takes effect in time if shard lease + worker lease + margin <= cancel_s.
  const maxMs = Math.min(MAX_SHARD_LEASE_MS, (cancel_s - lease_s) * 1000 - CANCEL_MARGIN_MS);
  if (maxMs < MIN_SHARD_LEASE_MS) {
    throw new SettingsError(`${platformFile}: deployment.workers.cancel_s: leaves no time for a block lease`);
  }
  // The default is below the maximum, so that a failover completes before the failed owner's workers lose their leases.
  const defaultMs = Math.min(DEFAULT_SHARD_LEASE_MS, (lease_s * 1000) / 2, maxMs);
  const leaseMs =
    operator.block_lease_s === undefined
      ? Math.max(defaultMs, MIN_SHARD_LEASE_MS)
      : operator.block_lease_s * 1000;
  if (leaseMs > maxMs || leaseMs < MIN_SHARD_LEASE_MS) {
    throw new SettingsError(
      `${operatorFile}: block_lease_s: must lie between ${MIN_SHARD_LEASE_MS / 1000} and ${maxMs / 1000}`,
    );
  }
  return Math.floor(leaseMs);
}

function chooseSockets({ deployment, others }: PlatformSettings, platformFile: string): SocketShares {
  const sockets = allocateSockets(deployment.quota.fd_limit, others.length);
  if (sockets.inbound < MIN_INBOUND_CONNECTIONS) {
    throw new SettingsError(
      `${platformFile}: deployment.quota.fd_limit: leaves ${sockets.inbound} connections for workers and users`,
    );
  }
  return sockets;
}

function chooseThrottling({ deployment, others }: PlatformSettings, operator: OperatorSettings): Throttling {
  const derived = throttlingFor(deployment.quota.cpu, others.length + 1);
  return {
    ...derived,
    shards: operator.blocks ?? derived.shards,
    roundBudgetMs: operator.round_budget_ms ?? derived.roundBudgetMs,
  };
}

function warningsFor(memoryMb: number, unusableLimits: readonly string[], platformFile: string): string[] {
  const warnings = unusableLimits.map(
    (limit) => `${platformFile}: deployment.state.next.${limit}: not a positive number; it is ignored`,
  );
  if (memoryMb < MIN_MEMORY_MB) {
    warnings.unshift(
      `${platformFile}: deployment.quota.mem_mb: ${memoryMb} MB may not do; ${MIN_MEMORY_MB} MB do for 600 machines`,
    );
  }
  return warnings;
}

/** The names of the platform's and the operators' files, for messages. */
type SettingsFiles = readonly [platform: string, operator?: string];

/** Checks settings that were read, and derives the other values from them. */
export function makeSettings(
  platform: unknown,
  operator: unknown,
  files: SettingsFiles = ['settings', 'options'],
): Settings {
  const [platformFile, operatorFile = 'options'] = files;
  const checked = checkSettings(platformSchema, platform, platformFile);
  const options = checkSettings(operatorSchema, operator, operatorFile);
  const { workers, state, quota } = checked.deployment;
  const shardLeaseMs = chooseShardLease(workers, options, files);
  const next = readNextLimits(state.next);
  // Longest time from a cancellation until the shard's owner has seen it or has stopped acting on the shard. The bounds
  // in `chooseShardLease` keep this time so short that `cancellationUncertaintyMs` is at least 2.5 s.
  const cancellationSeenWithinMs = Math.max(shardLeaseMs, LEASE_EXTENSION_MS);
  return {
    platform: {
      ...checked,
      deployment: { ...checked.deployment, state: effectiveLimits(state, next?.limits) },
    },
    operator: options,
    operatorFile,
    shardLeaseMs,
    cancellationUncertaintyMs:
      (workers.cancel_s - workers.lease_s) * 1000 - cancellationSeenWithinMs - IN_FLIGHT_MARGIN_MS,
    sockets: chooseSockets(checked, platformFile),
    throttling: chooseThrottling(checked, options),
    nextStateLimits: next?.limits,
    warnings: warningsFor(quota.mem_mb, next?.unusable ?? [], platformFile),
  };
}
