/** @file A model of the protocol's rules for which submissions controllers may accept. */

/** A submission with its wire fields, as far as the invariants need them. */
export interface Submission {
  crew: string;
  pieces: number;
  cpus: number;
  cards: number;
  memGb: number;
  frames?: string[] | null;
  yard?: string | null;
  together: boolean;
  apart: boolean;
  loaners: boolean;
  /** Ids of the job's dependencies, which must be done before any of its tasks starts. */
  awaits?: readonly string[] | null;
}

/** A machine type that the cloud offers. */
export interface MachineType {
  label: string;
  cpus: number;
  cards: number;
  memGb: number;
  yards: readonly string[];
}

const FIELDS: Record<string, (value: unknown) => boolean> = {
  nameId: isJobId,
  ...Object.fromEntries(['docket', 'crew', 'build'].map((name) => [name, isText])),
  shape: (v) => v === 'sweep',
  urgency: (v) => ['prod', 'urgent', 'normal', 'best_effort'].includes(v as string),
  pieces: (v) => Number.isInteger(v) && (v as number) >= 1 && (v as number) <= 100_000,
  ...Object.fromEntries(['cpus', 'cards', 'memGb', 'sizeGb', 'reckonS'].map((name) => [name, isAmount])),
  ...Object.fromEntries(['bookmarkS', 'stashS'].map((name) => [name, isAmount])),
  ...Object.fromEntries(['together', 'apart', 'loaners'].map((name) => [name, isFlag])),
  frames: (v) => v === null || v === undefined || (Array.isArray(v) && v.every(isText)),
  yard: (v) => v === null || v === undefined || isText(v),
  dueS: (v) => v === null || v === undefined || isAmount(v),
};

const isListOfIds = (value: unknown): boolean => Array.isArray(value) && value.every(isJobId);

function isJobId(value: unknown): boolean {
  return typeof value === 'string' && /^req-[0-9]+$/.test(value);
}

function isText(value: unknown): boolean {
  return typeof value === 'string' && value.length > 0;
}

function isAmount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isFlag(value: unknown): boolean {
  return typeof value === 'boolean';
}

/** Validates submissions against the settings of the deployment and the earlier submissions. */
export class SubmissionModel {
  constructor(
    private readonly deployment: {
      /** CPUs that a team's tasks may use at once; Infinity for a team without a limit. */
      limits: ReadonlyMap<string, number>;
      types: readonly MachineType[];
    },
    /** Whether a user has sent a valid submission of this job. */
    private readonly wasSubmitted: (id: string) => boolean,
  ) {}

  /** Why a submission must be rejected; undefined if it may be accepted. */
  rejectionReason(body: unknown): string | undefined {
    return (
      this.rejectionReasonIgnoringDependencies(body) ??
      this.#dependencyRejectionReason(body as Record<string, unknown>)
    );
  }

  /** Why a submission must be rejected whatever its dependencies are; undefined if only these can be invalid. */
  rejectionReasonIgnoringDependencies(body: unknown): string | undefined {
    if (typeof body !== 'object' || body === null) return 'not an object';
    const fields = body as Record<string, unknown>;
    const invalidField = Object.keys(FIELDS).find((name) => FIELDS[name]?.(fields[name]) !== true);
    if (invalidField !== undefined) return `${invalidField} is missing or invalid`;
    const job = body as Submission;
    if (!this.deployment.limits.has(job.crew)) return 'unknown team';
    if (job.cpus > (this.deployment.limits.get(job.crew) ?? Infinity))
      return "a task needs more than the team's limit";
    const fits = this.deployment.types.some(
      (type) =>
        (job.frames?.includes(type.label) ?? true) &&
        (!job.yard || type.yards.includes(job.yard)) &&
        job.cpus <= type.cpus &&
        job.cards <= type.cards &&
        job.memGb <= type.memGb,
    );
    return fits ? undefined : 'a task fits no allowed machine type';
  }

  #dependencyRejectionReason({ nameId, awaits }: Record<string, unknown>): string | undefined {
    if (awaits === undefined || awaits === null) return undefined;
    if (!isListOfIds(awaits)) return 'awaits is invalid';
    const ids = awaits as string[];
    if (ids.includes(nameId as string)) return 'it depends on itself';
    // A submitted job may have been accepted even if its user got no response.
    const unknown = ids.find((id) => !this.wasSubmitted(id));
    return unknown === undefined ? undefined : `${unknown} was never submitted`;
  }
}
