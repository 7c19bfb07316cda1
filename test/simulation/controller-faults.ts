/** @file Faults of controllers and partitions between them in the randomized simulation. */
import { CONTROLLERS, type SimulationContext } from './context';

interface ControllerFault {
  readonly weight: number;
  inject(forMs: number): void;
}

interface Partition {
  readonly weight: number;
  inject(index: number, forMs: number): void;
}

/** Kills, freezes and partitions controllers. */
export class ControllerFaults {
  readonly #processFaults: readonly ControllerFault[] = [
    { weight: 3, inject: (forMs) => this.kill(this.context.ownerOrAny(), forMs) },
    { weight: 1, inject: (forMs) => this.kill(this.context.anyController(), forMs) },
    { weight: 1, inject: (forMs) => this.#killAll(forMs) },
    { weight: 2, inject: (forMs) => this.#freezeOwner(forMs) },
  ];

  readonly #partitions: readonly Partition[] = [
    { weight: 1, inject: (index, forMs) => this.isolateFromPeers(index, forMs) },
    { weight: 1, inject: (index, forMs) => this.isolateFromStore(index, forMs) },
    { weight: 2, inject: (index, forMs) => this.isolateZone(index, forMs) },
  ];

  constructor(private readonly context: SimulationContext) {}

  /** Injects a random fault of a controller's process. */
  injectAny(): void {
    const { random } = this.context;
    const fault = random.pickWeighted(this.#processFaults);
    const forMs = random.chance(0.5) ? random.between(50, 1_000) : random.between(1_000, 20_000);
    fault.inject(forMs);
  }

  /** Partitions a random controller, mostly the owner, from a random part of the cluster. */
  isolateAny(): void {
    const { context } = this;
    const { random } = context;
    const forMs = random.between(1_000, 30_000);
    const index = random.chance(0.7) ? context.ownerOrAny() : context.anyController();
    random.pickWeighted(this.#partitions).inject(index, forMs);
  }

  /** Kills a controller, and restarts it after `forMs`. */
  kill(index: number, forMs: number): void {
    const { context } = this;
    if (!context.isAlive(index)) return;
    context.cluster.kill(index);
    context.faults.start(`node-${index} is killed`, forMs, () => {
      if (!context.isAlive(index)) context.cluster.restart(index);
    });
  }

  /** Drops all messages between the controller and its peers. */
  isolateFromPeers(index: number, forMs: number): void {
    const { cluster, faults } = this.context;
    faults.start(`node-${index} is isolated from its peers`, forMs, cluster.isolateFromPeers(index));
  }

  /** Partitions a controller from store, cloud and peers; it still reaches its workers. */
  isolateFromStore(index: number, forMs: number): void {
    const { cluster, faults } = this.context;
    const name = `node-${index}`;
    const removeRule = cluster.network.rule(({ from, to }) =>
      from === name && to.startsWith('10.2.') ? 'lose' : undefined,
    );
    const reconnectPeers = cluster.isolateFromPeers(index);
    faults.start(`${name} is isolated from store, cloud and peers`, forMs, () => {
      removeRule();
      reconnectPeers();
    });
  }

  /** Partitions one controller and half of the machines (zone b) from the other controllers and machines. */
  isolateZone(index: number, forMs: number): void {
    const { cluster, faults } = this.context;
    const removeRule = cluster.network.rule(({ from, to }) => {
      const sides = [this.#isInZone(from, index), this.#isInZone(to, index)];
      return sides.includes(true) && sides.includes(false) ? 'lose' : undefined;
    });
    const reconnectPeers = cluster.isolateFromPeers(index);
    faults.start(`zone b is isolated with node-${index}`, forMs, () => {
      removeRule();
      reconnectPeers();
    });
  }

  /** Whether a host is in the partitioned zone; undefined for a host in no zone (store, cloud, user). */
  #isInZone(host: string, index: number): boolean | undefined {
    const { controllers, workers } = this.context.cluster;
    const controller = controllers.findIndex(({ name, address }) => name === host || address === host);
    if (controller >= 0) return controller === index;
    const worker = [...workers.values()].find(({ id, address }) => id === host || address === host);
    return worker && worker.zone === 'b';
  }

  #killAll(forMs: number): void {
    for (const index of CONTROLLERS) this.kill(index, forMs + this.context.random.between(0, 12_000));
  }

  #freezeOwner(forMs: number): void {
    const { context } = this;
    const index = context.ownerOrAny();
    if (!context.isAlive(index)) return;
    context.faults.start(`node-${index} is frozen`, forMs, context.cluster.freeze(index));
  }
}
