/** @file Works out the next admission epoch: whether there is an overload, and what each flow may take. */
import { fairSharesByFlow, type FlowDemand, type Weights } from './fair-shares';
import { flowKey, type Flow } from './flow';
import { drainTimeS, isOverloaded, type Load } from './overload';
import type { AdmissionOptions } from './options';

/** What a flow may take during an overload. All amounts are CPU seconds since the overload began. */
export interface FlowGrant extends Flow {
  /** Jobs of the flow are admitted while less than this was admitted; negative where the flow begins in debt. */
  readonly granted: number;
  /** How fast the grant grows, per second. */
  readonly rate: number;
}

/** An admission epoch. All controllers decide by the same one. */
export interface Epoch {
  readonly number: number;
  /** Counts overloads; amounts of another overload mean nothing. */
  readonly overload: number;
  readonly isOverloaded: boolean;
  readonly weights: Weights;
  /** What a flow without a grant of its own may take. */
  readonly newFlowGrant: number;
  readonly grants: readonly FlowGrant[];
}

/** What is known of a flow when an epoch is worked out. */
export interface FlowLoad extends Flow {
  /** CPU seconds of its accepted, unfinished work. */
  readonly backlog: number;
  /** CPU seconds admitted since the overload began. */
  readonly admitted: number;
}

/** What an epoch is worked out from. */
export interface EpochInput {
  readonly load: Load;
  readonly stalledForS: number;
  readonly flows: readonly FlowLoad[];
  /** Seconds since the previous epoch. */
  readonly elapsedS: number;
}

/** A flow without demand saves up the grant of so many epochs, and no more. */
const MAX_SAVED_EPOCHS = 4;
/** The rate of grants lies between these multiples of the capacity. */
const MIN_RATE_FACTOR = 0.25;
const MAX_RATE_FACTOR = 4;
/**
 * How steeply the rate answers to the backlog. Flows in debt use none of what they are granted: when most of them are,
 * the others, and the debts, need several times the capacity before the fleet runs idle and the overload ends too soon.
 */
const RATE_EXPONENT = 2;

/** The epoch before any overload. */
export function initialEpoch(weights: Weights): Epoch {
  return { number: 0, overload: 0, isOverloaded: false, weights, newFlowGrant: 0, grants: [] };
}

/** The epoch that follows; the same object when nothing changes, so that nothing has to be written. */
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
 * The rate at which work is admitted. Estimates are often wrong by half, so the backlog itself corrects the rate: it is
 * held between the thresholds of overload.
 */
export function admissionRate({ load }: EpochInput, { enterS, leaveS }: AdmissionOptions): number {
  const targetS = (enterS + leaveS) / 2;
  const factor = (targetS / Math.max(drainTimeS(load), 1)) ** RATE_EXPONENT;
  const capacity = Math.max(load.capacity, 1);
  return capacity * Math.min(MAX_RATE_FACTOR, Math.max(MIN_RATE_FACTOR, factor));
}

/** Each flow begins with what its share earns in a few epochs, less what it has taken beyond its share already. */
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
  // Weights change with the next overload only, so that no flow's debt is worked out by two measures.
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

/** The grant of a flow in an epoch; undefined for a flow that is new to it. */
export function findGrant(epoch: Epoch, flow: Flow): FlowGrant | undefined {
  const key = flowKey(flow);
  return epoch.grants.find((grant) => flowKey(grant) === key);
}

/** Looks up what many flows may take in an epoch. */
function grantLookup(epoch: Epoch): (flow: Flow) => number {
  const granted = new Map(epoch.grants.map((grant) => [flowKey(grant), grant.granted]));
  return (flow) => granted.get(flowKey(flow)) ?? epoch.newFlowGrant;
}

/** Whether a flow has used up what it was granted, so that more of its jobs may be held back. */
function hasExhaustedGrant(epoch: Epoch, flows: readonly FlowLoad[]): boolean {
  const grantedTo = grantLookup(epoch);
  return epoch.isOverloaded && flows.some((flow) => flow.admitted >= grantedTo(flow));
}

/** What each flow would be granted a second if all of them had unlimited demand. */
function flowRates(input: EpochInput, options: AdmissionOptions, weights: Weights): Map<string, number> {
  const demands = input.flows.map(({ jobClass, team }) => ({ jobClass, team, demand: Infinity }));
  return fairSharesByFlow(admissionRate(input, options), demands, weights);
}

/** What the next epoch of an overload is made of. */
interface OverloadEpochFields {
  readonly overload: number;
  readonly weights: Weights;
  readonly grants: readonly FlowGrant[];
  /** What each flow is granted a second, by `flowKey`. */
  readonly rates: ReadonlyMap<string, number>;
  readonly epochS: number;
}

/** The epoch that follows with these terms. A new flow may take what the flow with the lowest rate may save up. */
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
