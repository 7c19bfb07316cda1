/** @file The replies to users and workers, and the mapping of errors to replies. */
import { describeError } from '../base/loop';
import type { Log } from '../base/log';
import { SubmissionDeferredError } from '../bookkeeping/admission-policy';
import { UnknownDependencyError } from '../bookkeeping/submitted-dependencies';
import type { JobStatus } from '../protocol/model';
import { writeStatus } from '../protocol/users';
import { writeHeartbeatResponse, writeRedirect } from '../protocol/workers';
import type { HttpReply, Route } from '../transport/http-server';
import type { HeartbeatResponse } from './heartbeat-router';

const RETRY_AFTER_S = 1;
const UNAVAILABLE_BODY = { error: 'not now' } as const;

/** The reply that rejects a request; it asks for no retry. */
export function refuse(status: number, error: string): HttpReply {
  return { status, body: { error } };
}

/** The reply to a user's request that can't be decided at present; it asks the user to retry. */
export function replyUnavailable(): HttpReply {
  return { status: 503, body: UNAVAILABLE_BODY, retryAfterS: RETRY_AFTER_S };
}

/** The reply with a job's status. */
export function replyWithStatus(status: JobStatus): HttpReply {
  return { status: 200, body: writeStatus(status) };
}

/** The reply to a heartbeat. It names no retry delay, since workers send heartbeats at their own interval. */
export function replyToWorker(response: HeartbeatResponse): HttpReply {
  switch (response.kind) {
    case 'accepted':
      return { status: 200, body: writeHeartbeatResponse(response.fencingToken, response.commands) };
    case 'redirect':
      return { status: 421, body: writeRedirect(response.owner) };
    case 'undecided':
      return { status: 503, body: UNAVAILABLE_BODY };
  }
}

/** The reply to a request that failed with an error. */
function replyToError(error: unknown, log: Log): HttpReply {
  if (error instanceof UnknownDependencyError) return refuse(422, error.message);
  if (error instanceof SubmissionDeferredError) {
    const { retryAfterS } = error;
    return { status: 503, body: { error: 'deferred', retryAfterS }, retryAfterS };
  }
  if (error !== undefined) log.debug({ err: describeError(error) }, 'request failed');
  return replyUnavailable();
}

/** Wraps a handler: if it throws, or its promise rejects, the request gets the reply to that error. */
export function withErrorReplies(handle: Route['handle'], log: Log): Route['handle'] {
  return (request) => {
    try {
      const handled = handle(request);
      return handled instanceof Promise
        ? handled.catch((error: unknown) => replyToError(error, log))
        : handled;
    } catch (error) {
      return replyToError(error, log);
    }
  };
}
