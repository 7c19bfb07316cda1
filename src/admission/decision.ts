/** @file Decides whether a job is admitted, from an epoch and the job alone. */
import type { Job } from '../protocol/model';
import { findGrant, type Epoch } from './epoch';
import { flowOf, jobCost } from './flow';

/** What becomes of a submission. */
export type AdmissionDecision =
  /** No overload: nothing is counted. */
  | { readonly kind: 'open' }
  /** Admitted in an overload: its cost is to be counted for its flow. */
  | { readonly kind: 'admit'; readonly cost: number }
  /** To be submitted again after this time. */
  | { readonly kind: 'defer'; readonly retryAfterS: number };

const MIN_RETRY_S = 1;
/** The longest `Retry-After` that users follow. */
const MAX_RETRY_S = 30;
/** Retries of one flow are spread over so many seconds, so that they don't come at once. */
const RETRY_SPREAD_S = 6;

/**
 * The decision for a job that is not accepted yet. It depends on nothing but the epoch, what the flow was admitted and the
 * job, so every controller with the same records decides alike. A flow is admitted until its grant is used up, its last
 * job included, however large: the overdraft is a debt that its next grants repay first (deficit round robin, Shreedhar
 * and Varghese, 1996). So no job is too large to be admitted, and the decision doesn't depend on the order of sizes.
 *
 * A job that depends on accepted jobs is always admitted: it finishes what was begun. Its cost is counted.
 */
export function decideAdmission(epoch: Epoch, admitted: number, job: Job): AdmissionDecision {
  if (!epoch.isOverloaded) return { kind: 'open' };
  const cost = jobCost(job);
  if (job.dependencies) return { kind: 'admit', cost };
  const { granted, rate } = findGrant(epoch, flowOf(job)) ?? { granted: epoch.newFlowGrant, rate: 0 };
  if (admitted < granted) return { kind: 'admit', cost };
  return { kind: 'defer', retryAfterS: retryAfterS(admitted - granted, rate, job.id) };
}

/** When the flow's debt should be repaid, and a little later by the job's id. */
function retryAfterS(debt: number, rate: number, id: string): number {
  const repaidS = rate > 0 ? debt / rate : MAX_RETRY_S;
  const spread = hash(id) % RETRY_SPREAD_S;
  return Math.min(MAX_RETRY_S, Math.max(MIN_RETRY_S, Math.ceil(repaidS)) + spread);
}

/** FNV-1a: a hash that every controller computes alike. */
function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  return value;
}
