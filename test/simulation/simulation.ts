/** @file The randomized simulation: random user actions and faults, while the invariants are checked. */
import type { SimulatedCluster } from '../fakes/simulated-cluster';
import { SimulationContext, type SimulationOptions } from './context';
import { ControllerFaults } from './controller-faults';
import { EndPhase } from './end-phase';
import { FaultCombinations } from './fault-combinations';
import { MachineFaults } from './machine-faults';
import { MessageFaults } from './message-faults';
import type { Weighted } from './random-source';
import { SimultaneousFaults, type FaultSources } from './simultaneous-faults';
import { StoreFaults } from './store-faults';
import { UserActions } from './user-actions';
import { UserClient } from './user-client';

const MACHINES = 14;
const MAX_ACTIVE_FAULTS = 4;
const DEFAULT_FAULT_PHASE_MS = 90_000;

interface FaultKind extends Weighted {
  inject(): void;
}

/**
 * Random user actions and faults of machines, store, controllers and network; every invariant is checked at every step.
 * Then all faults end, and every accepted job must become final. The same seed repeats the same simulation.
 */
export class RandomizedSimulation {
  readonly #context: SimulationContext;
  readonly #users: UserActions;
  readonly #combinations: FaultCombinations;
  readonly #endPhase: EndPhase;
  readonly #faultKinds: readonly FaultKind[];
  /** While a fault combination is running, no other fault is injected. */
  #isCombinationActive = false;
  /** When the next fault combination starts. */
  #combinationAt = 0;

  constructor(
    readonly seed: number,
    private readonly options: SimulationOptions = {},
  ) {
    const context = new SimulationContext(seed, options);
    const client = new UserClient(context);
    const users = new UserActions(context, client, seed);
    const store = new StoreFaults(context);
    const machines = new MachineFaults(context);
    const controllers = new ControllerFaults(context);
    this.#context = context;
    this.#users = users;
    this.#combinations = new FaultCombinations(context, { users, client, store });
    this.#endPhase = new EndPhase(context, users);
    this.#faultKinds = faultKinds(context, { users, machines, store, controllers });
  }

  get cluster(): SimulatedCluster {
    return this.#context.cluster;
  }

  /** The log of user actions and faults, each with its simulated time. */
  get steps(): readonly string[] {
    return this.#context.steps;
  }

  /** Runs the simulation; returns the violated invariants and the jobs that did not become final. */
  async run(): Promise<string[]> {
    const { invariants } = this.cluster;
    this.cluster.capacity = MACHINES;
    this.cluster.onTaskCompleted = (task) => {
      this.#users.onTaskCompleted(task);
    };
    await this.cluster.untilOwned();
    const { clock } = this.cluster;
    const { random } = this.#context;
    const end = clock.now() + (this.options.faultPhaseMs ?? DEFAULT_FAULT_PHASE_MS);
    this.#combinationAt = clock.now() + random.between(1_000, 20_000);
    while ((clock.now() < end || this.#isCombinationActive) && invariants.violations.length === 0) {
      await clock.advance(random.chance(0.4) ? random.between(1, 60) : random.between(100, 900));
      this.#step();
    }
    if (invariants.violations.length === 0) await this.#endPhase.run();
    return invariants.violations;
  }

  /** The steps, the violations and the command line that repeats the simulation. */
  report(): string {
    const { shards, versions } = this.options;
    const command = [
      `npm run simulate -- --seeds 1 --from ${this.seed}`,
      ...(shards === undefined ? [] : [`--shards ${shards}`]),
      ...(versions === undefined ? [] : [`--versions ${versions.join(',')}`]),
    ].join(' ');
    return [
      `seed ${this.seed}`,
      ...this.steps,
      ...this.cluster.invariants.violations,
      `to repeat: ${command}`,
    ].join('\n');
  }

  /** Executes one step of the fault phase. */
  #step(): void {
    const { random, faults } = this.#context;
    const now = this.cluster.clock.now();
    faults.endExpired();
    this.#restoreCapacity();
    if (random.chance(0.7)) this.#users.act();
    if (this.#isCombinationActive) return;
    if (now >= this.#combinationAt) {
      this.#combinationAt = now + random.between(50_000, 90_000);
      this.#startCombination();
    } else if (random.chance(0.2) && faults.count < MAX_ACTIVE_FAULTS) {
      random.pickWeighted(this.#faultKinds).inject();
    }
  }

  #startCombination(): void {
    this.#isCombinationActive = true;
    this.#context.faults.endAll();
    void this.#combinations.runAny().finally(() => {
      this.#isCombinationActive = false;
    });
  }

  /** Keeps the number of rented and available machines constant: a terminated machine can be rented again. */
  #restoreCapacity(): void {
    const rented = [...this.cluster.workers.values()].filter((worker) => !worker.isTerminated).length;
    this.cluster.capacity = Math.max(0, MACHINES - rented);
  }
}

function faultKinds(context: SimulationContext, sources: FaultSources): FaultKind[] {
  const { machines, store, controllers } = sources;
  const messages = new MessageFaults(context);
  const simultaneous = new SimultaneousFaults(context, sources);
  return [
    { weight: 2, inject: () => machines.injectAny() },
    { weight: 2, inject: () => store.injectAny() },
    { weight: 2, inject: () => controllers.injectAny() },
    { weight: 1, inject: () => controllers.isolateAny() },
    { weight: 1, inject: () => messages.replayHeartbeats() },
    { weight: 1, inject: () => messages.disturbCommands() },
    { weight: 1, inject: () => simultaneous.injectAny() },
  ];
}
