/** @file Divides capacity among classes and teams by their weights. */
import { flowKey, type Flow } from './flow';

/** Weights of classes and teams, by name. */
export interface Weights {
  readonly classes: Readonly<Record<string, number>>;
  readonly teams: Readonly<Record<string, number>>;
}

/** The weight of a class or team that is not listed in `Weights`. */
export const DEFAULT_WEIGHT = 1;

/** One of the demands among which an amount is divided. */
export interface WeightedDemand<Key> {
  readonly key: Key;
  readonly weight: number;
  /** The largest amount that may be allotted to this demand; `Infinity` if unlimited. */
  readonly demand: number;
}

/** A flow's demand for a part of the capacity that is divided. */
export interface FlowDemand extends Flow {
  readonly demand: number;
}

const EPSILON = 1e-9;

/**
 * Weighted max-min fairness: divides an amount by weight, but no share exceeds its demand. The excess is divided among
 * the other demands (Demers, Keshav and Shenker, "Analysis and Simulation of a Fair Queueing Algorithm", 1989).
 */
export function maxMinFairShares<Key>(
  amount: number,
  demands: readonly WeightedDemand<Key>[],
): Map<Key, number> {
  const shares = new Map<Key, number>(demands.map(({ key }) => [key, 0]));
  let unsatisfied = demands.filter(({ demand, weight }) => demand > 0 && weight > 0);
  let remaining = amount;
  while (unsatisfied.length > 0 && remaining > EPSILON) {
    const totalWeight = unsatisfied.reduce((sum, { weight }) => sum + weight, 0);
    const perWeight = remaining / totalWeight;
    const satisfied = unsatisfied.filter(({ demand, weight }) => demand <= weight * perWeight);
    if (satisfied.length === 0) {
      for (const { key, weight } of unsatisfied) shares.set(key, weight * perWeight);
      return shares;
    }
    for (const { key, demand } of satisfied) {
      shares.set(key, demand);
      remaining -= demand;
    }
    unsatisfied = unsatisfied.filter((entry) => !satisfied.includes(entry));
  }
  return shares;
}

/** Divides an amount first among classes, then the share of each class among its teams. Returns shares by `flowKey`. */
export function fairSharesByFlow(
  amount: number,
  demands: readonly FlowDemand[],
  weights: Weights,
): Map<string, number> {
  const byClass = new Map<string, FlowDemand[]>();
  for (const flowDemand of demands) {
    byClass.set(flowDemand.jobClass, [...(byClass.get(flowDemand.jobClass) ?? []), flowDemand]);
  }
  const classDemands = [...byClass].map(([key, members]) => ({
    key,
    weight: weights.classes[key] ?? DEFAULT_WEIGHT,
    demand: members.reduce((sum, { demand }) => sum + demand, 0),
  }));
  const classShares = maxMinFairShares(amount, classDemands);
  const shares = new Map<string, number>();
  for (const [jobClass, members] of byClass) {
    const teamDemands = members.map(({ team, demand }) => ({
      key: team,
      weight: weights.teams[team] ?? DEFAULT_WEIGHT,
      demand,
    }));
    for (const [team, share] of maxMinFairShares(classShares.get(jobClass) ?? 0, teamDemands)) {
      shares.set(flowKey({ jobClass, team }), share);
    }
  }
  return shares;
}

/** A team's guaranteed capacity, from the deployment's settings. */
export interface TeamGuarantee {
  readonly name: string;
  /** Guaranteed CPUs; 0 for none. */
  readonly cpus: number;
}

/**
 * The operator's weights, completed by defaults: classes have equal weights, and a team's weight is its guaranteed
 * CPUs. A team without a guarantee gets the weight of the team with the smallest guarantee, so that it isn't starved.
 */
export function effectiveWeights(configured: Weights, teams: readonly TeamGuarantee[]): Weights {
  const guarantees = teams.map(({ cpus }) => cpus).filter((cpus) => cpus > 0);
  const smallest = guarantees.length === 0 ? DEFAULT_WEIGHT : Math.min(...guarantees);
  const derived = teams.map(({ name, cpus }) => [name, cpus > 0 ? cpus : smallest] as const);
  return { classes: configured.classes, teams: { ...Object.fromEntries(derived), ...configured.teams } };
}
