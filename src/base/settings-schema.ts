/** @file The schemas of the platform's and the operators' settings, and their validation. */
import * as z from 'zod';
import type { StateLimits } from './state-limits';

/** An invalid setting; the message names the field and the file in one line. */
export class SettingsError extends Error {
  override name = 'SettingsError';
}

const address = z.string().regex(/^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$/, 'must be IP:PORT');
const seconds = z.number().positive();
const name = z.string().min(1);

const teamSchema = z.object({
  name,
  cpus: z.number().min(0).default(0),
  cpus_max: z.number().min(0).default(0),
  gpus: z.number().min(0).default(0),
  gpus_max: z.number().min(0).default(0),
});

const objectiveSchema = z.object({
  kind: z.string(),
  class: z.string().optional(),
  share: z.number().optional(),
  times: z.number().optional(),
  within_s: z.number().optional(),
});

const stateSchema = z.object({
  rps: z.number().positive(),
  write_rps: z.number().positive(),
  value_kb: z.number().positive(),
  txn_ops: z.int().min(8),
  /** Announced limits that come into force at some later time; `readNextLimits` checks them. */
  next: z.unknown().optional(),
});

const quotaSchema = z.object({
  cpu: z.number().positive().default(1),
  mem_mb: z.number().positive().default(256),
  fd_limit: z.int().min(32).default(1024),
});

/** The settings file that the platform provides. Unknown fields are ignored. */
export const platformSchema = z.object({
  node: name,
  area: name,
  bind: address,
  back: address,
  others: z.array(z.object({ node: name, area: name, peer_addr: address })).default([]),
  external: z.object({ cloud: address, state: address }),
  deployment: z.object({
    zones: z.array(name).default([]),
    time_bound_ms: z.number().min(0).default(1000),
    teams: z.array(teamSchema).min(1),
    objectives: z.array(objectiveSchema).default([]),
    workers: z.object({ report_s: seconds, lease_s: seconds, cancel_s: seconds }),
    state: stateSchema,
    cloud: z.object({ rps: z.number().positive(), list_lag_s: z.number().min(0) }),
    quota: quotaSchema,
  }),
});

/** The operators' own settings; every one has a default, explained in docs/OPERATIONS.md. */
export const operatorSchema = z.strictObject({
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
  /** Checked by `src/admission`, which defines this table. */
  admission: z.unknown().optional(),
  /** Checked by `src/suspicion`, which defines this table. */
  suspicion: z.unknown().optional(),
});

type PlatformFile = z.infer<typeof platformSchema>;

/** The platform's settings, with the effective limits of the key-value store. */
export type PlatformSettings = Omit<PlatformFile, 'deployment'> & {
  deployment: Omit<PlatformFile['deployment'], 'state'> & { state: StateLimits };
};

/** The operators' settings. */
export type OperatorSettings = z.infer<typeof operatorSchema>;

/** Checks settings against their schema; `parents` is the path of the value in the file. */
export function checkSettings<T>(
  schema: z.ZodType<T>,
  value: unknown,
  file: string,
  parents: readonly string[] = [],
): T {
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const path = [...parents, ...(issue?.path ?? [])].join('.');
  const field = path === '' ? '' : `${path}: `;
  throw new SettingsError(`${file}: ${field}${issue?.message ?? 'invalid'}`, { cause: parsed.error });
}
