/** @file The settings of a controller: what the platform and the operators wrote, and what follows from it. */
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

/** The checked settings, and what follows from them. */
export interface Settings {
  /** As the platform handed it over, except that `deployment.state` has the limits in force. */
  platform: PlatformSettings;
  operator: OperatorSettings;
  /** The name of the operators' file, for messages. */
  operatorFile: string;
  /** Longest time that a controller may act on a shard without a response of the key-value store. */
  shardLeaseMs: number;
  /**
   * How long after the owner has seen a cancellation it may go on answering a worker that a start of that job may still
   * reach: the shard lease (until the owner sees it), this and the worker's lease are together under `cancel_s`.
   */
  cancellationUncertaintyMs: number;
  sockets: SocketShares;
  /** What follows from the share of a core, with the operators' own values where there are any. */
  throttling: Throttling;
  /** Lower limits of the key-value store that the platform has announced; undefined where it has announced none. */
  nextStateLimits: Partial<StateLimits> | undefined;
  /** What may not suffice, by the name of the setting. */
  warnings: string[];
}

const MAX_SHARD_LEASE_MS = 30_000;
const DEFAULT_SHARD_LEASE_MS = 5_000;
/** Left over between the last moment of a cut-off owner's tasks and the bound on cancellations. */
const CANCEL_MARGIN_MS = 4_000;
/** A lease extension that peers grant an owner (`LeaseExtension`) binds for this long. */
export const LEASE_EXTENSION_MS = 2_500;
const MIN_SHARD_LEASE_MS = 2_000;
/** For timers and messages in flight, where a sum of times has to stay under the bound on cancellations. */
const IN_FLIGHT_MARGIN_MS = 1_000;
/** With the runtime's flags as `deploy/service.toml` has them; figures in docs/PERFORMANCE.md. */
const MIN_MEMORY_MB = 100;
/** Connections that a controller can't do without: a few workers, users and the health probe. */
const MIN_INBOUND_CONNECTIONS = 16;

/** The shard lease in milliseconds: the operators', or one that follows from the workers' lease. */
function chooseShardLease(
  { lease_s, cancel_s }: PlatformSettings['deployment']['workers'],
  operator: OperatorSettings,
  [platformFile, operatorFile]: SettingsFiles,
): number {
  // A cut-off owner may answer workers until its lease ends, and their tasks live one worker lease longer.
  // A cancellation that it can't see must still hold: shard lease + worker lease + margin <= cancel_s.
  const longest = Math.min(MAX_SHARD_LEASE_MS, (cancel_s - lease_s) * 1000 - CANCEL_MARGIN_MS);
  if (longest < MIN_SHARD_LEASE_MS) {
    throw new SettingsError(`${platformFile}: deployment.workers.cancel_s: leaves no time for a block lease`);
  }
  // Shorter by default: a failover should be over while the workers of a failed owner still hold their leases.
  const usual = Math.min(DEFAULT_SHARD_LEASE_MS, (lease_s * 1000) / 2, longest);
  const wanted =
    operator.block_lease_s === undefined
      ? Math.max(usual, MIN_SHARD_LEASE_MS)
      : operator.block_lease_s * 1000;
  if (wanted > longest || wanted < MIN_SHARD_LEASE_MS) {
    throw new SettingsError(
      `${operatorFile}: block_lease_s: must lie between ${MIN_SHARD_LEASE_MS / 1000} and ${longest / 1000}`,
    );
  }
  return Math.floor(wanted);
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

/** Checks settings that were read, and works out what follows from them. */
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
  // Within this time an owner has seen a cancellation, or has stopped. At least 2.5 s are left, by the bound on the
  // shard lease.
  const seenWithinMs = Math.max(shardLeaseMs, LEASE_EXTENSION_MS);
  return {
    platform: {
      ...checked,
      deployment: { ...checked.deployment, state: effectiveLimits(state, next?.limits) },
    },
    operator: options,
    operatorFile,
    shardLeaseMs,
    cancellationUncertaintyMs:
      (workers.cancel_s - workers.lease_s) * 1000 - seenWithinMs - IN_FLIGHT_MARGIN_MS,
    sockets: chooseSockets(checked, platformFile),
    throttling: chooseThrottling(checked, options),
    nextStateLimits: next?.limits,
    warnings: warningsFor(quota.mem_mb, next?.unusable ?? [], platformFile),
  };
}
