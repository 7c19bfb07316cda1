import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import * as z from 'zod';
import { throttlingFor, type Throttling } from './throttling';
import { shareSockets, type SocketShares } from './sockets';
import { limitsInForce, readNextLimits, type StateLimits } from './state-limits';

/** A setting that can't be used; the message names the field and the file in one line. */
export class SettingsError extends Error {
  override name = 'SettingsError';
}

const address = z.string().regex(/^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$/, 'must be IP:PORT');
const seconds = z.number().positive();
const name = z.string().min(1);

const objective = z.object({
  kind: z.string(),
  class: z.string().optional(),
  share: z.number().optional(),
  times: z.number().optional(),
  within_s: z.number().optional(),
});

/** The file that the platform hands over. Fields that it may have beyond these are ignored. */
const platformSchema = z.object({
  node: name,
  area: name,
  bind: address,
  back: address,
  others: z.array(z.object({ node: name, area: name, peer_addr: address })).default([]),
  external: z.object({ cloud: address, state: address }),
  deployment: z.object({
    zones: z.array(name).default([]),
    time_bound_ms: z.number().min(0).default(1000),
    teams: z
      .array(
        z.object({
          name,
          cpus: z.number().min(0).default(0),
          cpus_max: z.number().min(0).default(0),
          gpus: z.number().min(0).default(0),
          gpus_max: z.number().min(0).default(0),
        }),
      )
      .min(1),
    objectives: z.array(objective).default([]),
    workers: z.object({ report_s: seconds, lease_s: seconds, cancel_s: seconds }),
    state: z.object({
      rps: z.number().positive(),
      write_rps: z.number().positive(),
      value_kb: z.number().positive(),
      txn_ops: z.int().min(8),
      /** Limits that the service will have from some moment on; see `readNextLimits`. */
      next: z.unknown().optional(),
    }),
    cloud: z.object({ rps: z.number().positive(), list_lag_s: z.number().min(0) }),
    quota: z.object({
      cpu: z.number().positive().default(1),
      mem_mb: z.number().positive().default(256),
      fd_limit: z.int().min(32).default(1024),
    }),
  }),
});

/** The operators' own settings; every one has a default, explained in docs/OPERATIONS.md. */
const operatorSchema = z.strictObject({
  blocks: z.int().min(1).max(64).optional(),
  block_lease_s: seconds.optional(),
  round_budget_ms: seconds.optional(),
  flush_ms: seconds.default(1000),
  missed_reports: z.number().min(1).default(2),
  silent_release_s: seconds.optional(),
  late_boot_factor: z.number().min(1).default(2.5),
  idle_release_s: z.number().min(0).default(8),
  warm_share: z.number().min(0).max(1).default(0.05),
  aged_s: seconds.default(100),
  aged_share: z.number().min(0).max(1).default(0.2),
  rent_patience: z.number().min(0).default(2),
  /** Checked by the package that it belongs to, `src/admission`. */
  admission: z.unknown().optional(),
  /** The same, `src/suspicion`. */
  suspicion: z.unknown().optional(),
});

type PlatformFile = z.infer<typeof platformSchema>;
export type PlatformSettings = Omit<PlatformFile, 'deployment'> & {
  deployment: Omit<PlatformFile['deployment'], 'state'> & { state: StateLimits };
};
export type OperatorSettings = z.infer<typeof operatorSchema>;
export type Objective = z.infer<typeof objective>;

export interface Settings {
  /** As the platform handed it over, except that `deployment.state` has the limits in force. */
  platform: PlatformSettings;
  operator: OperatorSettings;
  /** The operator's file, for messages. */
  operatorFile: string;
  /** Longest time that a controller may act on a shard without news from the state service. */
  shardLeaseMs: number;
  /**
   * How long after its owner has heard of a cancellation a worker may go on being answered while a start of that job may
   * still reach it: the shard lease (until the owner hears), this and the worker's lease are under `cancel_s`.
   */
  cancellationUncertaintyMs: number;
  sockets: SocketShares;
  /** What follows from the share of a core, and the operator's own word where there is one. */
  throttling: Throttling;
  /** Lower limits of the state service that the platform has announced, when it has announced any. */
  nextStateLimits: Partial<StateLimits> | undefined;
  /** What may not work out, by the name of the setting. */
  warnings: string[];
}

const MAX_SHARD_LEASE_MS = 30_000;
const DEFAULT_SHARD_LEASE_MS = 5_000;
/** Left over between the last moment of a cut-off owner's tasks and the bound on cancellations. */
const CANCEL_MARGIN_MS = 4_000;
/** A grant of other nodes to an owner (`LeaseExtension`) binds for this long. */
export const LEASE_EXTENSION_MS = 2_500;
const MIN_SHARD_LEASE_MS = 2_000;
/** For timers and messages on their way, where a sum of times has to stay under the bound on cancellations. */
const TURN_MARGIN_MS = 1_000;
/** With the runtime's flags as `deploy/service.toml` has them; figures in docs/PERFORMANCE.md. */
const LEAST_MEMORY_MB = 100;
/** Connections that a node can't do without: a few workers, users and the health probe. */
const LEAST_INBOUND = 16;

function check<T>(schema: z.ZodType<T>, value: unknown, file: string): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const path = issue?.path.join('.');
  throw new SettingsError(`${file}: ${path ? `${path}: ` : ''}${issue?.message ?? 'invalid'}`);
}

function readToml(file: string): unknown {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(`${file}: cannot be read (${(error as NodeJS.ErrnoException).code ?? 'error'})`);
  }
  try {
    return parse(text);
  } catch (error) {
    const line = (error as Error).message.split('\n')[0] ?? '';
    throw new SettingsError(`${file}: not TOML: ${line}`);
  }
}

/** The shard lease in milliseconds: the operator's, or one that follows from the workers' lease. */
function chooseShardLease(
  { lease_s, cancel_s }: PlatformSettings['deployment']['workers'],
  operator: OperatorSettings,
  [platformFile, operatorFile]: SettingsFiles,
): number {
  // A cut-off owner may answer workers until its lease ends, and their tasks live one worker lease longer.
  // A cancellation that it can't hear of must still hold: shard lease + worker lease + margin <= cancel_s.
  const longest = Math.min(MAX_SHARD_LEASE_MS, (cancel_s - lease_s) * 1000 - CANCEL_MARGIN_MS);
  if (longest < MIN_SHARD_LEASE_MS) {
    throw new SettingsError(`${platformFile}: deployment.workers.cancel_s: leaves no time for a block lease`);
  }
  // Shorter by default: a takeover should be over while the workers of a dead owner still hold their leases.
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
  const sockets = shareSockets(deployment.quota.fd_limit, others.length);
  if (sockets.inbound < LEAST_INBOUND) {
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
  if (memoryMb < LEAST_MEMORY_MB) {
    warnings.unshift(
      `${platformFile}: deployment.quota.mem_mb: ${memoryMb} MB may not do; ${LEAST_MEMORY_MB} MB do for 600 machines`,
    );
  }
  return warnings;
}

/** The names of the platform's and the operator's files, for messages. */
type SettingsFiles = readonly [platform: string, operator?: string];

/** Checks settings that were read, and works out what follows from them. */
export function makeSettings(
  platform: unknown,
  operator: unknown,
  files: SettingsFiles = ['settings', 'options'],
): Settings {
  const [platformFile, operatorFile = 'options'] = files;
  const checked = check(platformSchema, platform, platformFile);
  const options = check(operatorSchema, operator, operatorFile);
  const { workers, state, quota } = checked.deployment;
  const shardLeaseMs = chooseShardLease(workers, options, files);
  const next = readNextLimits(state.next);
  // Within this time an owner has heard of a cancellation, or has stopped. At least 2.5 s are left, by the bound on the
  // shard lease.
  const hearingMs = Math.max(shardLeaseMs, LEASE_EXTENSION_MS);
  return {
    platform: {
      ...checked,
      deployment: { ...checked.deployment, state: limitsInForce(state, next?.limits) },
    },
    operator: options,
    operatorFile,
    shardLeaseMs,
    cancellationUncertaintyMs: (workers.cancel_s - workers.lease_s) * 1000 - hearingMs - TURN_MARGIN_MS,
    sockets: chooseSockets(checked, platformFile),
    throttling: chooseThrottling(checked, options),
    nextStateLimits: next?.limits,
    warnings: warningsFor(quota.mem_mb, next?.unusable ?? [], platformFile),
  };
}

export function readSettings(platformFile: string, operatorFile?: string): Settings {
  const operator = operatorFile === undefined ? {} : readToml(operatorFile);
  return makeSettings(readToml(platformFile), operator, [platformFile, operatorFile ?? 'defaults']);
}
