/**
 * @file The records in the key-value store: their keys, their schemas, and functions that read them.
 *
 * Some keys and fields have older names than the code (`baton`: fencing token, `block`: shard, `keep`: relay). They stay
 * as they are stored, so that versions understand each other's records.
 */
import * as z from 'zod';
import type { Job } from '../protocol/model';
import { listOf, mapOf, parseValue, uint64 } from '../protocol/schemas';
import { JOB_ID, MAX_TASKS } from '../protocol/users';

/**
 * The prefix of all records of live jobs, shards, machines and controllers, which every controller watches. Final states
 * have another prefix and are read on demand, so that the watch cache stays small.
 */
export const LIVE_PREFIX = 'live/';

/** Record formats by what they introduced (docs/UPGRADE.md). Controllers of format 1 write no format record. */
export const FORMAT = {
  /** Dependencies among jobs, and completions and machine types in small parts. */
  dependencies: 2,
  /** Admission epochs: every acceptance of a job has a condition on the epoch's record. */
  admission: 3,
} as const;

/** The newest format that this version writes and understands. */
export const RECORD_FORMAT = FORMAT.admission;

/** The key of each record. */
export const KEY = {
  leader: 'live/leader',
  fencingToken: 'live/baton',
  types: 'live/types',
  typesPart: (part: number) => `live/types-part/${part}`,
  controller: (controller: string) => `live/node/${controller}`,
  /** The newest record format that a controller understands; never deleted, and not bound to a lease. */
  format: (controller: string) => `live/format/${controller}`,
  shard: (shard: number) => `live/block/${shard}`,
  lease: (shard: number) => `live/lease/${shard}`,
  machine: (id: string) => `live/machine/${id}`,
  job: (id: string) => `live/job/${id}`,
  /** A part of a job's list of dependencies, if the list doesn't fit the job's record. */
  dependencyPart: (id: string, part: number) => `live/dependencies/${id}/${part}`,
  done: (id: string, chunk: number) => `live/done/${id}/${chunk}`,
  /** Completions of the tasks from `first` to `end` (exclusive). */
  bits: (id: string, first: number, end: number) => `live/bits/${id}/${first}-${end}`,
  /**
   * A part of the list of machines whose worker leases `controller` relays in the shard, because they reach it but not
   * the owner. The first part, 0, exists whenever any part does.
   */
  relay: (shard: number, controller: string, part = 0) =>
    part === 0 ? `live/keep/${shard}/${controller}` : `live/keep/${shard}/${controller}/${part}`,
  /** The admission epoch. */
  admission: 'live/admission',
  /** The grants of a class's teams in the epoch; `name` is derived from the class. */
  admissionClass: (name: string) => `live/admission-class/${name}`,
  /** The work admitted for a flow; `name` is derived from its class and team. */
  admissionFlow: (name: string) => `live/admission-flow/${name}`,
  final: (id: string) => `final/${id}`,
};

/** The prefixes of the keys of each kind of record, for `WatchCache.under`. */
export const PREFIX = {
  controller: 'live/node/',
  shard: 'live/block/',
  machine: 'live/machine/',
  job: 'live/job/',
  dependencyPart: 'live/dependencies/',
  done: 'live/done/',
  bits: 'live/bits/',
  typesPart: 'live/types-part/',
  relay: 'live/keep/',
  admissionClass: 'live/admission-class/',
  admissionFlow: 'live/admission-flow/',
};

const count = z.int().min(0);

/** Checks the fields by which memory is allocated; the others are as a controller checked them in the submission. */
function isJob(value: unknown): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const { id, tasks, types, dependencies } = value as Partial<Record<keyof Job, unknown>>;
  if (typeof id !== 'string' || !JOB_ID.test(id)) return false;
  if (!Number.isSafeInteger(tasks) || (tasks as number) < 1 || (tasks as number) > MAX_TASKS) return false;
  return isListOrAbsent(types) && isListOrAbsent(dependencies);
}

function isListOrAbsent(value: unknown): boolean {
  return value === undefined || value === null || Array.isArray(value);
}

const controllerRecord = z.object({ lease: uint64 });
const formatRecord = z.object({ format: z.int().min(1) });
const leaderRecord = z.object({ node: z.string() });
const fencingTokenRecord = z.object({ next: count });
const shardRecord = z.object({
  owner: z.string(),
  teams: listOf(z.string()),
  /** The controller that acquired the shard last. */
  holder: z.string().optional(),
  /** The total number of shards. */
  of: z.int().min(1).optional(),
});
const leaseRecord = z.object({ owner: z.string(), token: count });
const machineRecord = z.object({
  block: count,
  address: z.string(),
  type: z.string(),
  zone: z.string(),
  spot: z.boolean(),
  /** Whether the machine is up: set before the worker gets its first response, so a machine that isn't up has no tasks. */
  up: z.boolean(),
  /** Wall-clock time of the rental or, for an adopted machine, of the adoption; used only for the machine's age. */
  rentedAt: z.number(),
});
const relayRecord = z.object({
  /** Absent if all machines of the shard are covered; earlier versions write no list. */
  machines: listOf(z.string()).optional(),
});
const finalRecord = z.object({
  state: z.enum(['done', 'cancelled']),
  done: count,
  /** Wall-clock time of the job's end, in milliseconds; not part of record format 1. */
  endedAt: z.number().optional(),
});
const dependencyPartRecord = z.object({ dependencies: listOf(z.string()) });
const doneRecord = z.object({ bits: z.string() });
const jobRecord = z.object({
  job: z.custom<Job>(isJob),
  submittedAt: z.number(),
  /** The number of records that hold the list of dependencies; absent if `job` contains the list. */
  dependencyParts: z.int().min(1).optional(),
});
const machineType = z.object({
  name: z.string(),
  cpus: z.number(),
  gpus: z.number(),
  memoryGb: z.number(),
  cacheGb: z.number(),
  fetchGbPerS: z.number(),
  price: z.number(),
  spotPrice: z.number(),
  bootS: z.number(),
  zones: listOf(z.string()),
});
const typesRecord = z.object({ types: listOf(machineType) });
const typesPartRecord = z.object({
  /** Parts that were written together have the same edition. */
  edition: z.int().min(1),
  /** The total number of parts. */
  of: z.int().min(1),
  types: listOf(machineType),
});

const weights = mapOf(z.number().positive());
const admissionRecord = z.object({
  epoch: z.int().min(1),
  /** The number of overloads so far, which identifies the overload. */
  overload: count,
  isOverloaded: z.boolean(),
  /** Time between two epochs of an overload, in milliseconds. */
  epochMs: z.number().positive(),
  weights: z.object({ classes: weights, teams: weights }),
  /** The grant, in CPU seconds, of a flow that has no grant of its own in the epoch. */
  newFlowGrant: z.number(),
  /** Classes whose grants are part of the epoch; each class has its own record. */
  classes: listOf(z.string()),
});
const admissionClassRecord = z.object({
  class: z.string(),
  /** The epoch that the grants belong to. */
  epoch: z.int().min(1),
  teams: listOf(z.object({ team: z.string(), granted: z.number(), rate: z.number().min(0) })),
});
const admissionFlowRecord = z.object({
  class: z.string(),
  team: z.string(),
  overload: count,
  /** CPU seconds admitted since the overload began. */
  admitted: z.number().min(0),
});

/** The admission epoch. */
export type AdmissionRecord = z.infer<typeof admissionRecord>;
/** The grants of one class in an admission epoch. */
export type AdmissionClassRecord = z.infer<typeof admissionClassRecord>;
/** The work admitted for one flow in an overload. */
export type AdmissionFlowRecord = z.infer<typeof admissionFlowRecord>;
/** A live controller, and the lease of its session. */
export type ControllerRecord = z.infer<typeof controllerRecord>;
/** The assignment of a shard to a controller, and the teams whose jobs belong to the shard. */
export type ShardRecord = z.infer<typeof shardRecord>;
/** The lease of a shard: its owner and the owner's fencing token. */
export type LeaseRecord = z.infer<typeof leaseRecord>;
/** A rented machine, and the shard that it belongs to. */
export type MachineRecord = z.infer<typeof machineRecord>;
/** The machines whose worker leases a relay may renew. */
export type RelayRecord = z.infer<typeof relayRecord>;
/** The final state of a job. */
export type FinalRecord = z.infer<typeof finalRecord>;
/** A part of a job's list of dependencies. */
export type DependencyPartRecord = z.infer<typeof dependencyPartRecord>;
/** A live job. */
export type JobRecord = z.infer<typeof jobRecord>;

function reader<T>(schema: z.ZodType<T>): (value: unknown) => T | undefined {
  return (value) => {
    const parsed = parseValue(schema, value);
    return parsed.ok ? parsed.value : undefined;
  };
}

/** Readers of each kind of record: the value if it follows the schema, else undefined. */
export const read = {
  controller: reader(controllerRecord),
  format: reader(formatRecord),
  leader: reader(leaderRecord),
  fencingToken: reader(fencingTokenRecord),
  shard: reader(shardRecord),
  lease: reader(leaseRecord),
  machine: reader(machineRecord),
  relay: reader(relayRecord),
  final: reader(finalRecord),
  dependencyPart: reader(dependencyPartRecord),
  done: reader(doneRecord),
  job: reader(jobRecord),
  types: reader(typesRecord),
  typesPart: reader(typesPartRecord),
  admission: reader(admissionRecord),
  admissionClass: reader(admissionClassRecord),
  admissionFlow: reader(admissionFlowRecord),
};
