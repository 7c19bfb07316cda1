import * as z from 'zod';
import { decodeMap } from './codec';
import type { Job, JobState, JobStatus, MachineType } from './model';

const MAX_TASKS = 100_000;
/** Of what a job waits for, an answer lists this many. */
const MAX_LISTED_DEPENDENCIES = 100;
const amount = z.number().min(0).max(1e9);
const text = z.string().min(1).max(200);

const submission = z.object({
  nameId: z.string().regex(/^req-[0-9]{1,32}$/),
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
  frames: z.array(text).max(1000).nullish(),
  yard: text.nullish(),
  together: z.boolean(),
  apart: z.boolean(),
  loaners: z.boolean(),
  reckonS: amount.gt(0),
  bookmarkS: amount,
  stashS: amount,
  dueS: amount.nullish(),
});

const dependencyList = z.array(z.string().regex(/^req-[0-9]{1,32}$/)).nullish();

const PRIORITIES = { prod: 'production', urgent: 'high', normal: 'normal', best_effort: 'low' } as const;

export const JOB_ID = /^req-[0-9]{1,32}$/;

/** A submission as it was read. */
export type Submission =
  | { readonly kind: 'valid'; readonly job: Job }
  /** All but its list of dependencies can be read: harmless where the job was accepted before. */
  | { readonly kind: 'invalid dependencies'; readonly id: string; readonly error: string }
  | { readonly kind: 'invalid'; readonly error: string };

function firstIssue(error: z.ZodError, field?: string): string {
  const issue = error.issues[0];
  const path = [...(field === undefined ? [] : [field]), ...(issue?.path ?? [])];
  return `${path.join('.')}: ${issue?.message ?? 'invalid'}`;
}

/** Reads a submission, or tells what is wrong with it. */
export function readSubmission(body: Uint8Array): Submission {
  const map = decodeMap(body);
  if (!map) return { kind: 'invalid', error: 'the body is not a MessagePack map' };
  const parsed = submission.safeParse(map);
  if (!parsed.success) return { kind: 'invalid', error: firstIssue(parsed.error) };
  const job = toJob(parsed.data);
  const dependencies = dependencyList.safeParse(map.awaits);
  if (!dependencies.success) {
    return { kind: 'invalid dependencies', id: job.id, error: firstIssue(dependencies.error, 'awaits') };
  }
  const distinct = [...new Set(dependencies.data ?? [])];
  return { kind: 'valid', job: distinct.length === 0 ? job : { ...job, dependencies: distinct } };
}

function toJob(s: z.infer<typeof submission>): Job {
  return {
    id: s.nameId,
    jobClass: s.docket,
    team: s.crew,
    priority: PRIORITIES[s.urgency],
    tasks: s.pieces,
    cpus: s.cpus,
    gpus: s.cards,
    memoryGb: s.memGb,
    types: s.frames ?? null,
    zone: s.yard ?? null,
    oneZone: s.together,
    spread: s.apart,
    spot: s.loaners,
    image: s.build,
    imageGb: s.sizeGb,
    estimateS: s.reckonS,
    checkpointS: s.bookmarkS,
    saveS: s.stashS,
    deadlineS: s.dueS ?? null,
  };
}

const STANDINGS: Record<JobState, string> = {
  queued: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

export function writeStatus(status: JobStatus): Record<string, unknown> {
  return {
    nameId: status.id,
    standing: STANDINGS[status.state],
    done: status.done,
    running: status.running,
    ...(status.unfinishedDependencies?.length
      ? { awaits: status.unfinishedDependencies.slice(0, MAX_LISTED_DEPENDENCIES) }
      : {}),
  };
}

export function writeStanding(id: string, state: JobState): Record<string, unknown> {
  return { nameId: id, standing: STANDINGS[state] };
}

/** Whether a task of the job fits a machine of this type, in some zone that the job allows. */
export function typeAllows(job: Job, type: MachineType): boolean {
  return (
    job.cpus <= type.cpus &&
    job.gpus <= type.gpus &&
    job.memoryGb <= type.memoryGb &&
    (job.types === null || job.types.includes(type.name)) &&
    (job.zone === null || type.zones.includes(job.zone))
  );
}
