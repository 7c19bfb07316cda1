/** @file The HTTP interface for users, workers, operators and the load balancer's health probe. */
import { traceSubmission } from '../admission/tracing';
import type { Log } from '../base/log';
import type { RefusedMessage } from '../base/refused-messages';
import { JOB_ID, readSubmission, writeJobState } from '../protocol/users';
import { readHeartbeat } from '../protocol/workers';
import type { HttpReply, HttpRequest, Route } from '../transport/http-server';
import type { Controller } from './controller';
import { findInfeasibility } from './feasibility';
import { refuse, replyUnavailable, replyToWorker, replyWithStatus, withErrorReplies } from './replies';

/** The handlers of the routes. */
class RequestHandlers {
  constructor(
    private readonly controller: Controller,
    private readonly log: Log,
  ) {}

  health(): HttpReply {
    const ready = this.controller.isReady;
    return { status: ready ? 200 : 503, body: { ready } };
  }

  peers(): HttpReply {
    const report = this.controller.peersReport();
    return report ? { status: 200, body: report } : refuse(404, 'suspicion is off');
  }

  async submit({ body, sender }: HttpRequest): Promise<HttpReply> {
    const submission = readSubmission(body);
    switch (submission.kind) {
      case 'invalid':
        return this.#refuseMalformed({ message: 'submission', sender, problem: submission.error });
      case 'invalid dependencies':
        return this.#existingStatusOr(submission.id, refuse(400, submission.error));
      case 'valid':
        break;
    }
    const { controller, log } = this;
    const { job } = submission;
    const { types, settings } = controller;
    if (types.length === 0 || !controller.eventLoopDelay.allowsSubmissions) return replyUnavailable();
    const infeasibility = findInfeasibility(job, types, settings.platform.deployment.teams);
    if (infeasibility !== undefined) return this.#existingStatusOr(job.id, refuse(422, infeasibility));
    const { isNew, status } = await traceSubmission(job, () => controller.jobs.accept(job));
    if (!isNew) return replyWithStatus(controller.withProgress(status));
    log.info({ job: job.id, jobClass: job.jobClass, team: job.team, tasks: job.tasks }, 'job accepted');
    return { status: 201, body: writeJobState(job.id, status.state) };
  }

  async status({ params }: HttpRequest): Promise<HttpReply> {
    const id = params.id ?? '';
    const status = JOB_ID.test(id) ? await this.controller.jobs.find(id) : undefined;
    if (!status) return refuse(404, 'no such job');
    return replyWithStatus(this.controller.withProgress(status));
  }

  async cancel({ params }: HttpRequest): Promise<HttpReply> {
    const id = params.id ?? '';
    const status = JOB_ID.test(id) ? await this.controller.cancel(id) : undefined;
    if (!status) return refuse(404, 'no such job');
    if (status.state === 'cancelled') this.log.info({ job: id }, 'job cancelled');
    return { status: 200, body: writeJobState(id, status.state) };
  }

  heartbeat({ body, sender }: HttpRequest): HttpReply | Promise<HttpReply> {
    const heartbeat = readHeartbeat(body);
    if (!heartbeat.ok) {
      return this.#refuseMalformed({ message: 'heartbeat', sender, problem: heartbeat.problem });
    }
    const response = this.controller.onHeartbeat(heartbeat.value);
    return response instanceof Promise ? response.then(replyToWorker) : replyToWorker(response);
  }

  #refuseMalformed(refused: RefusedMessage): HttpReply {
    this.controller.refusedMessages.add(refused);
    return refuse(400, refused.problem);
  }

  /** The reply to an invalid or infeasible submission: the status if the job was accepted before, else the refusal. */
  async #existingStatusOr(id: string, refusal: HttpReply): Promise<HttpReply> {
    const status = await this.controller.jobs.find(id);
    return status ? replyWithStatus(this.controller.withProgress(status)) : refusal;
  }
}

/** The routes of a controller. Each request that can't be decided at present gets a 503 reply at once. */
export function createRoutes(controller: Controller, log: Log): Route[] {
  const handlers = new RequestHandlers(controller, log);
  return [
    {
      method: 'GET',
      url: '/up',
      use: 'health',
      handle: () => handlers.health(),
    },
    {
      method: 'GET',
      url: '/peers',
      // Handled like the health probe, because operators request the peers report during failures.
      use: 'health',
      handle: () => handlers.peers(),
    },
    {
      method: 'POST',
      url: '/work',
      use: 'users',
      handle: withErrorReplies((request) => handlers.submit(request), log),
    },
    {
      method: 'GET',
      url: '/work/:id',
      use: 'users',
      handle: withErrorReplies((request) => handlers.status(request), log),
    },
    {
      method: 'POST',
      url: '/work/:id/withdraw',
      use: 'users',
      handle: withErrorReplies((request) => handlers.cancel(request), log),
    },
    {
      method: 'POST',
      url: '/hello',
      use: 'workers',
      handle: withErrorReplies((request) => handlers.heartbeat(request), log),
    },
  ];
}
