import { traceSubmission } from '../admission/tracing';
import { describeError } from '../base/loop';
import type { Log } from '../base/log';
import { SubmissionDeferredError } from '../bookkeeping/admission-policy';
import { UnknownDependencyError } from '../bookkeeping/submitted-dependencies';
import type { Job, MachineType } from '../protocol/model';
import { JOB_ID, readSubmission, typeAllows, writeStanding, writeStatus } from '../protocol/users';
import { readHeartbeat, writeRedirect, writeHeartbeatResponse } from '../protocol/workers';
import type { HttpReply, Route } from '../transport/http-server';
import type { Controller, HeartbeatResponse } from './controller';

const RETRY_AFTER_S = 1;

/** What can never run, and why; undefined when the job can. */
export function whyNever(
  job: Job,
  types: readonly MachineType[],
  teams: readonly { name: string; cpus_max: number; gpus_max: number }[],
): string | undefined {
  const team = teams.find((t) => t.name === job.team);
  if (!team) return 'unknown team';
  if (!types.some((type) => typeAllows(job, type))) return 'a task fits no allowed machine type';
  if (team.cpus_max > 0 && job.cpus > team.cpus_max) return "a task needs more CPUs than the team's limit";
  if (team.gpus_max > 0 && job.gpus > team.gpus_max) return "a task needs more GPUs than the team's limit";
  return undefined;
}

function toWorker(answer: HeartbeatResponse): HttpReply {
  if (answer.kind === 'accepted') {
    return { status: 200, body: writeHeartbeatResponse(answer.fencingToken, answer.commands) };
  }
  if (answer.kind === 'redirect') return { status: 421, body: writeRedirect(answer.owner) };
  return { status: 503, body: { error: 'not now' } };
}

/** The interface for users and workers. Each request that can't be decided now is answered at once with 503. */
export function createRoutes(node: Controller, log: Log): Route[] {
  const { teams } = node.settings.platform.deployment;
  const undecided = (error?: unknown): HttpReply => {
    if (error instanceof UnknownDependencyError) return refused(422, error.message);
    if (error instanceof SubmissionDeferredError) {
      const { retryAfterS } = error;
      return { status: 503, body: { error: 'deferred', retryAfterS }, retryAfterS };
    }
    if (error !== undefined) log.debug({ err: describeError(error) }, 'a request could not be decided');
    return { status: 503, body: { error: 'not now' }, retryAfterS: RETRY_AFTER_S };
  };
  const refused = (status: number, error: string): HttpReply => ({ status, body: { error } });
  /** An accepted job stays accepted, whatever a repeated submission says, or the machine types say today. */
  const knownOr = async (id: string, refusal: HttpReply): Promise<HttpReply> => {
    const known = await node.jobs.find(id);
    return known ? { status: 200, body: writeStatus(node.withProgress(known)) } : refusal;
  };
  const guarded = (handle: Route['handle']): Route['handle'] => {
    return (request) => {
      try {
        const handled = handle(request);
        return handled instanceof Promise ? handled.catch(undecided) : handled;
      } catch (error) {
        return undecided(error);
      }
    };
  };
  return [
    {
      method: 'GET',
      url: '/up',
      use: 'health',
      handle: () => ({ status: node.isReady ? 200 : 503, body: { ready: node.isReady } }),
    },
    {
      method: 'GET',
      url: '/peers',
      // An operator asks when things go wrong: it is answered like the health probe.
      use: 'health',
      handle: () => {
        const report = node.peersReport();
        return report ? { status: 200, body: report } : refused(404, 'suspicion is off');
      },
    },
    {
      method: 'POST',
      url: '/work',
      use: 'users',
      handle: guarded(async ({ body }) => {
        const submission = readSubmission(body);
        if (submission.kind === 'invalid') return refused(400, submission.error);
        if (submission.kind === 'invalid dependencies') {
          return knownOr(submission.id, refused(400, submission.error));
        }
        const { job } = submission;
        if (node.types.length === 0 || !node.eventLoopDelay.allowsSubmissions) return undecided();
        const never = whyNever(job, node.types, teams);
        if (never !== undefined) return knownOr(job.id, refused(422, never));
        const { isNew, status } = await traceSubmission(job, () => node.jobs.accept(job));
        if (!isNew) return { status: 200, body: writeStatus(node.withProgress(status)) };
        log.info({ job: job.id, jobClass: job.jobClass, team: job.team, tasks: job.tasks }, 'job accepted');
        return { status: 201, body: writeStanding(job.id, status.state) };
      }),
    },
    {
      method: 'GET',
      url: '/work/:id',
      use: 'users',
      handle: guarded(async ({ params }) => {
        const id = params.id ?? '';
        const status = JOB_ID.test(id) ? await node.jobs.find(id) : undefined;
        if (!status) return { status: 404, body: { error: 'no such job' } };
        return { status: 200, body: writeStatus(node.withProgress(status)) };
      }),
    },
    {
      method: 'POST',
      url: '/work/:id/withdraw',
      use: 'users',
      handle: guarded(async ({ params }) => {
        const id = params.id ?? '';
        const status = JOB_ID.test(id) ? await node.cancel(id) : undefined;
        if (!status) return { status: 404, body: { error: 'no such job' } };
        if (status.state === 'cancelled') log.info({ job: id }, 'job cancelled');
        return { status: 200, body: writeStanding(id, status.state) };
      }),
    },
    {
      method: 'POST',
      url: '/hello',
      use: 'workers',
      handle: guarded(({ body }) => {
        const heartbeat = readHeartbeat(body);
        if (!heartbeat) return { status: 400, body: { error: 'not a report' } };
        const answer = node.onHeartbeat(heartbeat);
        return answer instanceof Promise ? answer.then(toWorker) : toWorker(answer);
      }),
    },
  ];
}
