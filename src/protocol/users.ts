/** @file The protocol between users and controllers: submissions and the status of jobs. */
import * as z from 'zod';
import { fieldsOf, mergeFields } from './message-fields';
import { decodeMap, listOf, parseValue, text } from './schemas';
import type { Job, JobState, JobStatus } from './model';

/** The maximum number of tasks in a job. */
export const MAX_TASKS = 100_000;
/** A status lists at most this many unfinished dependencies. */
export const MAX_LISTED_DEPENDENCIES = 100;

/** The form of a job id. */
export const JOB_ID = /^req-[0-9]{1,32}$/;

/** The largest amount that is accepted: products of a few amounts stay finite. */
const MAX_AMOUNT = 1e15;

const amount = z.number().min(0).max(MAX_AMOUNT);
const jobId = z.string().regex(JOB_ID);

const submissionSchema = z.object({
  nameId: jobId,
  docket: text,
  crew: text,
  shape: z.literal('sweep'),
  urgency: z.enum(['prod', 'urgent', 'normal', 'best_effort']),
  pieces: z.int().min(1).max(MAX_TASKS),
  cpus: amount.gt(0),
  cards: amount,
  memGb: amount,
  build: text,
  sizeGb: amount,
  frames: listOf(text).nullish(),
  yard: text.nullish(),
  together: z.boolean(),
  apart: z.boolean(),
  loaners: z.boolean(),
  reckonS: amount.gt(0),
  bookmarkS: amount,
  stashS: amount,
  dueS: amount.nullish(),
});

const dependenciesSchema = z.object({ awaits: listOf(jobId).nullish() });

const SUBMISSION_FIELDS = mergeFields(fieldsOf(submissionSchema), fieldsOf(dependenciesSchema));

/** Priorities by their names on the wire. */
const PRIORITIES = { prod: 'production', urgent: 'high', normal: 'normal', best_effort: 'low' } as const;

/** The names of job states on the wire. */
const STANDINGS: Record<JobState, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

/** The result of reading a submission. */
export type Submission =
  | { readonly kind: 'valid'; readonly job: Job }
  /** Only the list of dependencies is invalid, which is harmless if the job was accepted before. */
  | { readonly kind: 'invalid dependencies'; readonly id: string; readonly error: string }
  | { readonly kind: 'invalid'; readonly error: string };

/** Reads a submission; an invalid one comes with the first error. */
export function readSubmission(body: Uint8Array): Submission {
  const decoded = decodeMap(body, SUBMISSION_FIELDS);
  if (!decoded.ok) return { kind: 'invalid', error: decoded.problem };
  const parsed = parseValue(submissionSchema, decoded.value);
  if (!parsed.ok) return { kind: 'invalid', error: parsed.problem };
  const job = toJob(parsed.value);
  const dependencies = parseValue(dependenciesSchema, decoded.value);
  if (!dependencies.ok) return { kind: 'invalid dependencies', id: job.id, error: dependencies.problem };
  const distinct = [...new Set(dependencies.value.awaits ?? [])];
  return { kind: 'valid', job: distinct.length === 0 ? job : { ...job, dependencies: distinct } };
}

function toJob(wire: z.infer<typeof submissionSchema>): Job {
  return {
    id: wire.nameId,
    jobClass: wire.docket,
    team: wire.crew,
    priority: PRIORITIES[wire.urgency],
    tasks: wire.pieces,
    cpus: wire.cpus,
    gpus: wire.cards,
    memoryGb: wire.memGb,
    types: wire.frames ?? null,
    zone: wire.yard ?? null,
    oneZone: wire.together,
    spread: wire.apart,
    spot: wire.loaners,
    image: wire.build,
    imageGb: wire.sizeGb,
    estimateS: wire.reckonS,
    checkpointS: wire.bookmarkS,
    saveS: wire.stashS,
    deadlineS: wire.dueS ?? null,
  };
}

/** The body of a response with a job's status. */
export function writeStatus(status: JobStatus): Record<string, unknown> {
  const fields = {
    nameId: status.id,
    standing: STANDINGS[status.state],
    done: status.done,
    running: status.running,
  };
  const unfinished = status.unfinishedDependencies ?? [];
  if (unfinished.length === 0) return fields;
  return { ...fields, awaits: unfinished.slice(0, MAX_LISTED_DEPENDENCIES) };
}

/** The body of a response with only a job's state. */
export function writeJobState(id: string, state: JobState): Record<string, unknown> {
  return { nameId: id, standing: STANDINGS[state] };
}
