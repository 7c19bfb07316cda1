/** @file What all parts of the randomized simulation share: the cluster, random numbers, active faults and the steps. */
import type { Observer } from '../fakes/network';
import { SimulatedCluster } from '../fakes/simulated-cluster';
import { ActiveFaults } from './active-faults';
import { RandomSource } from './random-source';

/** The index of each controller. */
export const CONTROLLERS = [0, 1, 2];

/** CPUs that team red may use at once. */
const CPU_LIMIT = 8;

/** The state of one randomized simulation. */
export class SimulationContext {
  readonly cluster: SimulatedCluster;
  readonly random: RandomSource;
  readonly faults: ActiveFaults;
  /** What was done so far, each step with its time. */
  readonly steps: string[] = [];
  /** Whether the phase with faults is over: what was planned before must not begin any more. */
  isFaultPhaseOver = false;

  constructor(seed: number, observer?: Observer) {
    this.cluster = new SimulatedCluster({ limitCpus: CPU_LIMIT, observer });
    this.random = new RandomSource(seed);
    this.faults = new ActiveFaults(this.cluster.clock, (step) => {
      this.note(step);
    });
  }

  note(step: string): void {
    this.steps.push(`${(this.cluster.clock.now() / 1000).toFixed(3)} s: ${step}`);
  }

  isAlive(index: number): boolean {
    return this.cluster.controllers[index]?.alive === true;
  }

  /** A running controller; the first when there is none. */
  anyController(): number {
    return this.random.pick(CONTROLLERS.filter((index) => this.isAlive(index))) ?? 0;
  }

  /** The owner of the shard; any controller when there is none. */
  ownerOrAny(): number {
    return this.cluster.owner >= 0 ? this.cluster.owner : this.anyController();
  }

  /** Does something later, unless the phase with faults is over by then. */
  scheduleInFaultPhase(ms: number, act: () => void): void {
    this.cluster.clock.after(ms, () => {
      if (!this.isFaultPhaseOver) act();
    });
  }
}
