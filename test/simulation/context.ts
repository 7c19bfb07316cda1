/** @file The state shared by all parts of the randomized simulation: cluster, random numbers, active faults, steps. */
import type { Observer } from '../fakes/network';
import { SimulatedCluster } from '../fakes/simulated-cluster';
import { ActiveFaults } from './active-faults';
import type { Version } from '../fakes/versions';
import { RandomSource } from './random-source';

/** The indices of the controllers. */
export const CONTROLLERS = [0, 1, 2];

/** The CPU limit of team red. */
const CPU_LIMIT = 8;

/** Options of a randomized simulation. */
export interface SimulationOptions {
  /** Duration of the phase in which faults are injected. */
  readonly faultPhaseMs?: number;
  /** The number of shards; one by default. */
  readonly shards?: number;
  /** The versions that the controllers start with, by index; the present one by default. */
  readonly versions?: Version[];
  /** Called for every message. */
  readonly observer?: Observer | undefined;
}

/** The state of one randomized simulation. */
export class SimulationContext {
  readonly cluster: SimulatedCluster;
  readonly random: RandomSource;
  readonly faults: ActiveFaults;
  /** Whether users submit jobs with dependencies; nobody does before all controllers have the present version. */
  readonly hasDependencies: boolean;
  /** The log of user actions and faults so far, each with its simulated time. */
  readonly steps: string[] = [];
  /** Whether the fault phase has ended. Actions and faults scheduled for later are dropped then. */
  isFaultPhaseOver = false;

  constructor(seed: number, { shards, versions = [], observer }: SimulationOptions) {
    const operator = shards === undefined ? {} : { blocks: shards };
    this.cluster = new SimulatedCluster({ limitCpus: CPU_LIMIT, operator, versions, observer });
    this.hasDependencies = !versions.includes('production');
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
