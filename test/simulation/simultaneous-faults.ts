/** @file Faults of several kinds that the randomized simulation injects at the same time. */
import { CONTROLLERS, type SimulationContext } from './context';
import type { ControllerFaults } from './controller-faults';
import type { MachineFaults } from './machine-faults';
import type { StoreFaults } from './store-faults';
import type { UserActions } from './user-actions';

/** The duration of an outage that is longer than any lease. */
const LONG_OUTAGE_MS = 40_000;

/** The components that inject single faults, and the users. */
export interface FaultSources {
  readonly users: UserActions;
  readonly machines: MachineFaults;
  readonly store: StoreFaults;
  readonly controllers: ControllerFaults;
}

interface Simultaneous {
  readonly name: string;
  readonly weight: number;
  inject(owner: number): void;
}

/** Injects two or more faults at once that are known to interact. */
export class SimultaneousFaults {
  readonly #kinds: readonly Simultaneous[] = [
    { name: 'refused, then outage', weight: 1, inject: (owner) => this.#refusedThenOutage(owner) },
    { name: 'isolated from the store', weight: 1, inject: (owner) => this.#isolatedFromStore(owner) },
    { name: 'machines hang at failover', weight: 1, inject: (owner) => this.#hangAtFailover(owner) },
    { name: 'owner killed in an outage', weight: 1, inject: (owner) => this.#killedInOutage(owner) },
    { name: 'one-way loss at failover', weight: 1, inject: (owner) => this.#oneWayAtFailover(owner) },
    { name: 'each refused alone', weight: 1, inject: (owner) => this.#refusedEach(owner) },
    { name: 'isolated, then outage', weight: 1, inject: (owner) => this.#isolatedThenOutage(owner) },
    { name: "a peer's zone isolated", weight: 1, inject: (owner) => this.#isolatedZone(owner) },
  ];

  constructor(
    private readonly context: SimulationContext,
    private readonly sources: FaultSources,
  ) {}

  /** Injects a random one of these kinds. */
  injectAny(): void {
    const owner = this.context.ownerOrAny();
    const { name, inject } = this.context.random.pickWeighted(this.#kinds);
    this.context.note(`simultaneous faults: ${name}`);
    inject(owner);
  }

  #refusedThenOutage(owner: number): void {
    const { users, store } = this.sources;
    store.refuse(owner, 1_500);
    users.cancelRunning(3);
    this.context.scheduleInFaultPhase(1_000, () => {
      store.outage(LONG_OUTAGE_MS);
    });
  }

  #isolatedFromStore(owner: number): void {
    const { random, cluster } = this.context;
    this.sources.controllers.isolateFromStore(owner, random.between(5_000, 25_000));
    cluster.clock.after(random.between(0, 4_000), () => {
      this.sources.users.cancelRunning(3);
    });
  }

  #hangAtFailover(owner: number): void {
    const { cluster, random } = this.context;
    const { users, machines, controllers } = this.sources;
    const used = [...new Set(cluster.runningTasks.map((task) => cluster.machineOf(task) ?? ''))];
    users.cancelRunning(4);
    for (const id of used.slice(0, 3)) machines.hang(id, random.between(3_000, 9_500));
    controllers.kill(owner, random.between(100, 8_000));
  }

  #killedInOutage(owner: number): void {
    const { random } = this.context;
    const { store, controllers } = this.sources;
    store.outage(random.between(10_000, 40_000));
    this.context.scheduleInFaultPhase(random.between(0, 3_000), () => {
      controllers.kill(owner, 500);
    });
  }

  #oneWayAtFailover(owner: number): void {
    const { users, machines, controllers } = this.sources;
    const id = machines.anyMachine();
    if (id === undefined) return;
    machines.dropMessagesTo(id, 20_000);
    controllers.kill(owner, this.context.random.between(200, 15_000));
    users.cancelRunning(2);
  }

  /** Each controller is refused alone, which its peers take for an outage. Leases expire; the owner learns it last. */
  #refusedEach(owner: number): void {
    const { random } = this.context;
    const { users, store } = this.sources;
    for (const index of CONTROLLERS) {
      store.refuse(index, index === owner ? 14_000 : random.between(4_000, 9_000));
    }
    if (random.chance(0.5)) users.cancelRunning(2);
  }

  /** The owner can learn of the cancellations during its isolation only from the peers that extend its lease. */
  #isolatedThenOutage(owner: number): void {
    const { users, store, controllers } = this.sources;
    store.refuse(owner, 3_000);
    controllers.isolateFromPeers(owner, 2_500);
    users.cancelRunning(3);
    this.context.scheduleInFaultPhase(2_000, () => {
      store.outage(LONG_OUTAGE_MS);
    });
  }

  #isolatedZone(owner: number): void {
    const peer = (owner + 1) % CONTROLLERS.length;
    this.sources.controllers.isolateZone(peer, this.context.random.between(12_000, 30_000));
  }
}
