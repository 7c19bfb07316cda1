/** @file Decides whether a job is admitted. A pure function of the epoch, the flow's admitted work, and the job. */
import type { Job } from '../protocol/model';
import { findGrant, type Epoch } from './epoch';
import { flowOf, jobCost } from './flow';

/** Whether a submission is admitted or deferred. */
export type AdmissionDecision =
  /** No overload: the job is admitted, and its cost is not counted. */
  | { readonly kind: 'open' }
  /** Admitted during an overload: its cost counts against the grant of its flow. */
  | { readonly kind: 'admit'; readonly cost: number }
  /** Deferred: the user should submit the job again after this time. */
  | { readonly kind: 'defer'; readonly retryAfterS: number };

const MIN_RETRY_S = 1;
/** The longest `Retry-After` that users follow. */
const MAX_RETRY_S = 30;
/** The retries of a flow's jobs are spread over this time, so that they don't arrive all at once. */
const RETRY_SPREAD_S = 6;

/**
 * Decides on a job that is not accepted yet. The result depends only on the epoch, on the work admitted for the job's
 * flow and on the job, so every controller with the same records decides alike. Jobs of a flow are admitted while its
 * grant is not exhausted. The last admitted job may exceed the grant by any amount; the overdraft is a debt that later
 * grants repay first (deficit round robin, Shreedhar and Varghese, 1996). So a job of any size can be admitted.
 *
 * A job that depends on accepted jobs is always admitted, so that work in progress is completed. Its cost is counted.
 */
export function decideAdmission(epoch: Epoch, admitted: number, job: Job): AdmissionDecision {
  if (!epoch.isOverloaded) return { kind: 'open' };
  const cost = jobCost(job);
  if (job.dependencies) return { kind: 'admit', cost };
  const { granted, rate } = findGrant(epoch, flowOf(job)) ?? { granted: epoch.newFlowGrant, rate: 0 };
  if (admitted < granted) return { kind: 'admit', cost };
  return { kind: 'defer', retryAfterS: retryAfterS(admitted - granted, rate, job.id) };
}

/** The expected time until the flow's debt is repaid, plus a spread that depends on the job's id. */
function retryAfterS(debt: number, rate: number, id: string): number {
  const repaidS = rate > 0 ? debt / rate : MAX_RETRY_S;
  const spread = hash(id) % RETRY_SPREAD_S;
  return Math.min(MAX_RETRY_S, Math.max(MIN_RETRY_S, Math.ceil(repaidS)) + spread);
}

/** FNV-1a, so that every controller computes the same hash. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  return value;
}
