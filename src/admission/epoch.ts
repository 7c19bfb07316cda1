/** @file Computes the next admission epoch: whether there is an overload, and the grant of each flow. */
import { fairSharesByFlow, type FlowDemand, type Weights } from './entitlements';
import { flowKey, type Flow } from './flow';
import { drainTimeS, isOverloaded, type Load } from './overload';
import type { AdmissionOptions } from './options';

/** A flow's grant during an overload. Amounts are CPU seconds, counted from the beginning of the overload. */
export interface FlowGrant extends Flow {
  /** The flow's jobs are admitted while the admitted work is below this; negative if the flow begins an overload in debt. */
  readonly granted: number;
  /** Growth of the grant, in CPU seconds per second. */
  readonly rate: number;
}

/** An admission epoch: the shared state by which all controllers admit or defer jobs. */
export interface Epoch {
  readonly number: number;
  /** The number of the overload. Grants and admitted work of different overloads are not comparable. */
  readonly overload: number;
  readonly isOverloaded: boolean;
  readonly weights: Weights;
  /** The grant of a flow that is not in `grants`. */
  readonly newFlowGrant: number;
  readonly grants: readonly FlowGrant[];
}

/** The load of one flow, from which an epoch is computed. */
export interface FlowLoad extends Flow {
  /** CPU seconds of the flow's accepted, unfinished work. */
  readonly backlog: number;
  /** CPU seconds admitted since the overload began. */
  readonly admitted: number;
}

/** The input from which the next epoch is computed. */
export interface EpochInput {
  readonly load: Load;
  readonly stalledForS: number;
  readonly flows: readonly FlowLoad[];
  /** Time for which the epoch grants work, in seconds: usually the time since the previous epoch. */
  readonly elapsedS: number;
}

/** A flow accumulates unused credit for at most this many epochs. */
const MAX_SAVED_EPOCHS = 4;
/** The admission rate lies between these multiples of the capacity. */
const MIN_RATE_FACTOR = 0.25;
const MAX_RATE_FACTOR = 4;
/**
 * Exponent by which the admission rate rises as the backlog shrinks. Grants of flows in debt only repay debt and admit
 * no work. When most flows are in debt, the rate must therefore reach several times the capacity, or the fleet would run
 * idle and the overload would end too soon.
 */
const RATE_EXPONENT = 2;

/** The epoch before any overload. */
export function initialEpoch(weights: Weights): Epoch {
  return { number: 0, overload: 0, isOverloaded: false, weights, newFlowGrant: 0, grants: [] };
}

/** Computes the next epoch. Returns `current` itself if there was and is no overload: nothing has to be written. */
export function nextEpoch(current: Epoch, input: EpochInput, options: AdmissionOptions): Epoch {
  const { load, stalledForS } = input;
  const isAnyGrantExhausted = hasExhaustedGrant(current, input.flows);
  const state = { wasOverloaded: current.isOverloaded, isAnyGrantExhausted, load, stalledForS };
  const overloaded = isOverloaded(state, options);
  if (!overloaded && !current.isOverloaded) return current;
  if (!overloaded) {
    return { ...initialEpoch(options.weights), number: current.number + 1, overload: current.overload };
  }
  return current.isOverloaded
    ? continueOverload(current, input, options)
    : beginOverload(current, input, options);
}

/**
 * The rate at which work is admitted, in CPU seconds per second. Users' estimates are often wrong by half, so the rate
 * is adjusted to keep the backlog's drain time near the midpoint between the two thresholds of overload.
 */
export function admissionRate({ load }: EpochInput, { enterS, leaveS }: AdmissionOptions): number {
  const targetS = (enterS + leaveS) / 2;
  const factor = (targetS / Math.max(drainTimeS(load), 1)) ** RATE_EXPONENT;
  const capacity = Math.max(load.capacity, 1);
  return capacity * Math.min(MAX_RATE_FACTOR, Math.max(MIN_RATE_FACTOR, factor));
}

/** Begins an overload: grants each flow its rate for `MAX_SAVED_EPOCHS` epochs, less its backlog above the fair share. */
function beginOverload(current: Epoch, input: EpochInput, options: AdmissionOptions): Epoch {
  const { weights } = options;
  const rates = flowRates(input, options, weights);
  const totalBacklog = input.flows.reduce((sum, { backlog }) => sum + backlog, 0);
  const demands = input.flows.map(({ jobClass, team, backlog }) => ({ jobClass, team, demand: backlog }));
  const targetShare = options.leaveS / Math.max(drainTimeS(input.load), options.leaveS);
  const fairBacklogs = fairSharesByFlow(totalBacklog * targetShare, demands, weights);
  const grants = input.flows.map(({ jobClass, team, backlog }) => {
    const key = flowKey({ jobClass, team });
    const rate = rates.get(key) ?? 0;
    const excess = Math.max(0, backlog - (fairBacklogs.get(key) ?? 0));
    return { jobClass, team, granted: rate * options.epochS * MAX_SAVED_EPOCHS - excess, rate };
  });
  return overloadEpoch(current, {
    overload: current.overload + 1,
    weights,
    grants,
    rates,
    epochS: options.epochS,
  });
}

function continueOverload(current: Epoch, input: EpochInput, options: AdmissionOptions): Epoch {
  // The weights stay the same during an overload: otherwise a flow's debt would sum up amounts by different weights.
  const { weights } = current;
  const rates = flowRates(input, options, weights);
  const maxCredit = (key: string): number => (rates.get(key) ?? 0) * options.epochS * MAX_SAVED_EPOCHS;
  const grantedTo = grantLookup(current);
  const states = input.flows.map((flow) => {
    const granted = grantedTo(flow);
    return { ...flow, key: flowKey(flow), granted, isExhausted: flow.admitted >= granted };
  });
  const demands: FlowDemand[] = states.map(({ jobClass, team, key, granted, admitted, isExhausted }) => ({
    jobClass,
    team,
    demand: isExhausted ? Infinity : Math.max(0, maxCredit(key) - (granted - admitted)),
  }));
  const amount = admissionRate(input, options) * input.elapsedS;
  const shares = fairSharesByFlow(amount, demands, weights);
  const grants = states.map(({ jobClass, team, key, granted, admitted, isExhausted }) => {
    const usable = isExhausted ? granted : Math.min(granted, admitted + maxCredit(key));
    return { jobClass, team, granted: usable + (shares.get(key) ?? 0), rate: rates.get(key) ?? 0 };
  });
  return overloadEpoch(current, {
    overload: current.overload,
    weights,
    grants,
    rates,
    epochS: options.epochS,
  });
}

/** The grant of a flow in an epoch; undefined if the epoch does not contain the flow. */
export function findGrant(epoch: Epoch, flow: Flow): FlowGrant | undefined {
  const key = flowKey(flow);
  return epoch.grants.find((grant) => flowKey(grant) === key);
}

/** Returns a function that finds the CPU seconds granted to a flow; `newFlowGrant` if the epoch lacks the flow. */
function grantLookup(epoch: Epoch): (flow: Flow) => number {
  const granted = new Map(epoch.grants.map((grant) => [flowKey(grant), grant.granted]));
  return (flow) => granted.get(flowKey(flow)) ?? epoch.newFlowGrant;
}

/** Whether there is an overload in which a flow has exhausted its grant, so that its next jobs may be deferred. */
function hasExhaustedGrant(epoch: Epoch, flows: readonly FlowLoad[]): boolean {
  const grantedTo = grantLookup(epoch);
  return epoch.isOverloaded && flows.some((flow) => flow.admitted >= grantedTo(flow));
}

/** The rate at which each flow's grant grows if all have unlimited demand: CPU seconds per second, by `flowKey`. */
function flowRates(input: EpochInput, options: AdmissionOptions, weights: Weights): Map<string, number> {
  const demands = input.flows.map(({ jobClass, team }) => ({ jobClass, team, demand: Infinity }));
  return fairSharesByFlow(admissionRate(input, options), demands, weights);
}

/** The fields from which the next epoch of an overload is built. */
interface OverloadEpochFields {
  readonly overload: number;
  readonly weights: Weights;
  readonly grants: readonly FlowGrant[];
  /** Growth of each flow's grant, by `flowKey`, in CPU seconds per second. */
  readonly rates: ReadonlyMap<string, number>;
  readonly epochS: number;
}

/** Builds the next epoch of an overload. A new flow is granted the maximum credit of the flow with the lowest rate. */
function overloadEpoch(current: Epoch, fields: OverloadEpochFields): Epoch {
  const { overload, weights, grants, rates, epochS } = fields;
  const smallestRate = rates.size === 0 ? 1 : Math.min(...rates.values());
  return {
    number: current.number + 1,
    overload,
    isOverloaded: true,
    weights,
    newFlowGrant: smallestRate * epochS * MAX_SAVED_EPOCHS,
    grants,
  };
}
