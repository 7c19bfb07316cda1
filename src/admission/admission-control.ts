/** @file A controller's decisions on submissions, by the epoch that all controllers share. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import {
  SubmissionDeferredError,
  type AdmissionPolicy,
  type AdmissionTerms,
} from '../bookkeeping/admission-policy';
import { eventOfChange } from '../bookkeeping/change-events';
import { KEY } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { Job } from '../protocol/model';
import type { ChangeEvent, Condition, KeyValueStore } from '../protocol/key-value-store';
import { NoResponseError } from '../transport/http-client';
import { RateLimitExceededError, type RateLimit } from '../transport/rate-limit';
import { decideAdmission } from './decision';
import type { Epoch } from './epoch';
import { flowRecordKey, readAdmitted, readEpoch } from './epoch-records';
import { flowOf } from './flow';
import { traceDecision } from './tracing';

/** An overload whose epoch isn't renewed for so many of its intervals is taken to be over. */
const EXPIRES_AFTER_EPOCHS = 6;
/** How often records are read again before a submission is answered with 503. */
const MAX_REREADS = 2;

/** What the decisions work on. */
export interface AdmissionContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly log: Log;
  /** Bounds questions about deferred jobs, so that a flood of submissions leaves polls their requests. */
  readonly lookUpLimit: RateLimit;
  /** Brings a change that the key-value store has acknowledged into this controller's copy, and notifies its peers. */
  publish(event: ChangeEvent): void;
}

/** The epoch in force, undefined while there is no overload, and the condition that proves it. */
interface EpochInForce {
  readonly epoch: Epoch | undefined;
  readonly condition: Condition;
}

/**
 * Admission by epochs. A decision depends on the epoch, on what the job's flow was admitted in this overload, and on the
 * job; the transaction that accepts the job has the versions of both records as conditions. So a controller whose copy is
 * old can defer a job that is admitted elsewhere, and never admits one that the newest records defer.
 *
 * Outside of an overload the condition on the epoch is all that is added: no request and no change.
 */
export class AdmissionControl implements AdmissionPolicy {
  /** Steady time at which the present epoch was first seen here. */
  #epochSeenAt = -Infinity;
  #isMalformedReported = false;

  constructor(private readonly context: AdmissionContext) {
    const { cache, clock } = context;
    cache.onChange(({ key }) => {
      if (key === KEY.admission) this.#epochSeenAt = clock.now();
    });
  }

  async termsFor(job: Job): Promise<AdmissionTerms> {
    const { epoch, condition } = await this.#epochFor(job);
    if (!epoch) return { conditions: [condition], changes: [] };
    const flow = flowOf(job);
    const key = flowRecordKey(flow);
    const admitted = readAdmitted(this.context.cache.get(key)?.value, epoch.overload);
    const decision = decideAdmission(epoch, admitted, job);
    traceDecision(job, epoch, decision);
    switch (decision.kind) {
      case 'defer':
        throw new SubmissionDeferredError(job.id, decision.retryAfterS);
      case 'open':
        return { conditions: [condition], changes: [] };
      case 'admit': {
        const value = {
          class: flow.jobClass,
          team: flow.team,
          overload: epoch.overload,
          admitted: admitted + decision.cost,
        };
        return { conditions: [condition, this.#condition(key)], changes: [{ put: key, value }] };
      }
    }
  }

  async allowsLookUp(): Promise<boolean> {
    try {
      await this.context.lookUpLimit.take(1, 0);
      return true;
    } catch (error) {
      if (error instanceof RateLimitExceededError) return false;
      throw error;
    }
  }

  async refresh(terms: AdmissionTerms, failedKeys: readonly string[]): Promise<boolean> {
    const stale = terms.conditions.map(({ key }) => key).filter((key) => failedKeys.includes(key));
    if (stale.length === 0) return false;
    await this.#refreshCache(stale);
    return true;
  }

  onAccepted({ changes }: AdmissionTerms, revision: number): void {
    for (const change of changes) this.context.publish(eventOfChange(change, revision));
  }

  #condition(key: string): Condition {
    return { key, version: this.context.cache.version(key) };
  }

  /**
   * The condition is read together with the epoch: one that is read a turn later might prove the next epoch, by which
   * nothing was decided.
   */
  async #epochFor(job: Job): Promise<EpochInForce> {
    for (let attempt = 0; attempt <= MAX_REREADS; attempt += 1) {
      const condition = this.#condition(KEY.admission);
      const found = readEpoch(this.context.cache, (jobClass) => jobClass === job.jobClass);
      switch (found.kind) {
        case 'none':
          return { epoch: undefined, condition };
        case 'malformed':
          return this.#rejectMalformed();
        case 'epoch':
          this.#isMalformedReported = false;
          return { epoch: this.#hasExpired(found.epochMs) ? undefined : found.epoch, condition };
        case 'stale':
          await this.#refreshCache(found.keys);
      }
    }
    throw new NoResponseError('the admission epoch is just being written', false);
  }

  #rejectMalformed(): never {
    if (!this.#isMalformedReported) {
      this.#isMalformedReported = true;
      this.context.log.error(
        { key: KEY.admission },
        'the admission epoch cannot be read: no job is accepted',
      );
    }
    throw new NoResponseError('the admission epoch cannot be read', false);
  }

  /**
   * Whether no leader renews the epoch any more, as admission was switched off at the leader, or at all controllers: then
   * nothing would ever end the deferrals.
   */
  #hasExpired(epochMs: number): boolean {
    return this.context.clock.now() - this.#epochSeenAt > epochMs * EXPIRES_AFTER_EPOCHS;
  }

  async #refreshCache(keys: readonly string[]): Promise<void> {
    const { cache, store } = this.context;
    for (const key of keys) {
      const entry = await store.get(key);
      if (entry) cache.applyNotification({ ...entry, deleted: false });
      // The record was deleted; the watch brings that in a moment.
      else if (cache.get(key)) throw new NoResponseError(`${key} was deleted`, false);
    }
  }
}
