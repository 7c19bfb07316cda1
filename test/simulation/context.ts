/** @file The state shared by all parts of the randomized simulation: cluster, random numbers, active faults, steps. */
import type { Observer } from '../fakes/network';
import { SimulatedCluster } from '../fakes/simulated-cluster';
import { ActiveFaults } from './active-faults';
import { RandomSource } from './random-source';

/** The indices of the controllers. */
export const CONTROLLERS = [0, 1, 2];

/** The CPU limit of team red. */
const CPU_LIMIT = 8;

/** The state of one randomized simulation. */
export class SimulationContext {
  readonly cluster: SimulatedCluster;
  readonly random: RandomSource;
  readonly faults: ActiveFaults;
  /** The log of user actions and faults so far, each with its simulated time. */
  readonly steps: string[] = [];
  /** Whether the fault phase has ended. Actions and faults scheduled for later are dropped then. */
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

  /** The index of a random running controller, or 0 when none is running. */
  anyController(): number {
    return this.random.pick(CONTROLLERS.filter((index) => this.isAlive(index))) ?? 0;
  }

  /** The owner of the shard, or a random running controller when the shard has no owner. */
  ownerOrAny(): number {
    return this.cluster.owner >= 0 ? this.cluster.owner : this.anyController();
  }

  /** Schedules an action, which is dropped if the fault phase has ended by then. */
  scheduleInFaultPhase(ms: number, act: () => void): void {
    this.cluster.clock.after(ms, () => {
      if (!this.isFaultPhaseOver) act();
    });
  }
}
