/** @file Admits or defers submitted jobs by the admission epoch that all controllers share. */
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

/** An overload counts as ended when no new epoch was written for this many epoch intervals. */
const EXPIRES_AFTER_EPOCHS = 6;
/** Maximum number of times that stale epoch records are read again before a submission gets a 503 response. */
const MAX_REREADS = 2;

/** The services that admission control uses. */
export interface AdmissionContext {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly clock: Clock;
  readonly log: Log;
  /** Limits reads that check whether a deferred job was accepted before: enough store requests must remain for polls. */
  readonly lookUpLimit: RateLimit;
  /** Applies a change that the key-value store has acknowledged to the watch cache, and notifies the peers. */
  publish(event: ChangeEvent): void;
}

/** The current epoch, undefined if there is none or it has expired, and the condition that its record is unchanged. */
interface CurrentEpoch {
  readonly epoch: Epoch | undefined;
  readonly condition: Condition;
}

/**
 * Admission by epochs. A decision depends on the epoch, on the work admitted for the job's flow in this overload, and
 * on the job. The transaction that accepts the job has the versions of the epoch's and the flow's record as conditions.
 * So a controller with a stale watch cache may defer a job that another one would admit, but never admits a job that
 * the latest records defer. Outside of an overload, admission adds to the transaction only the condition on the epoch.
 */
export class AdmissionControl implements AdmissionPolicy {
  /** Monotonic time at which this controller received the current epoch. */
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
   * Reads the epoch and the condition on its record without an `await` in between. After an `await`, the condition could
   * hold the version of the next epoch, and the transaction would succeed although the decision used the earlier epoch.
   */
  async #epochFor(job: Job): Promise<CurrentEpoch> {
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
    throw new NoResponseError('admission epoch records do not match: write in progress', false);
  }

  #rejectMalformed(): never {
    if (!this.#isMalformedReported) {
      this.#isMalformedReported = true;
      this.context.log.error({ key: KEY.admission }, 'malformed admission epoch: no job is accepted');
    }
    throw new NoResponseError('the admission epoch is malformed', false);
  }

  /**
   * Whether the epoch has expired: no leader has written an epoch for too long, because admission was switched off
   * at the leader or at all controllers. If the epoch did not expire, jobs would be deferred forever.
   */
  #hasExpired(epochMs: number): boolean {
    return this.context.clock.now() - this.#epochSeenAt > epochMs * EXPIRES_AFTER_EPOCHS;
  }

  async #refreshCache(keys: readonly string[]): Promise<void> {
    const { cache, store } = this.context;
    for (const key of keys) {
      const entry = await store.get(key);
      if (entry) cache.applyNotification({ ...entry, deleted: false });
      // The record was deleted, and the watch has not yet delivered the deletion.
      else if (cache.get(key)) throw new NoResponseError(`${key} is deleted, but still cached`, false);
    }
  }
}
