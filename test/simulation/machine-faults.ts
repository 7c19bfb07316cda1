/** @file Faults of machines and their connections in the randomized simulation. */
import type { SimulationContext } from './context';

/** The time between the spot interruption notice and the termination of the machine. */
const SPOT_NOTICE_S = 8;
const USUAL_BOOT_MS = 3_000;

interface MachineFault {
  readonly weight: number;
  inject(machine: string, forMs: number): void;
}

/** Injects faults of single machines. */
export class MachineFaults {
  readonly #kinds: readonly MachineFault[] = [
    { weight: 1, inject: (id, forMs) => this.hang(id, forMs) },
    { weight: 1, inject: (id, forMs) => this.dropMessagesTo(id, forMs) },
    { weight: 1, inject: (id, forMs) => this.#dropMessagesFrom(id, forMs) },
    { weight: 1, inject: (id, forMs) => this.#isolate(id, forMs) },
    { weight: 1, inject: (id) => this.#terminate(id) },
    { weight: 1, inject: (id) => this.#reclaimSpot(id) },
    { weight: 1, inject: (_, forMs) => this.#changeBootTime(forMs) },
  ];

  constructor(private readonly context: SimulationContext) {}

  /** Injects a random fault into a random machine. */
  injectAny(): void {
    const { random } = this.context;
    const id = this.anyMachine();
    if (id === undefined) return;
    const forMs = random.chance(0.5) ? random.between(300, 9_000) : random.between(9_000, 30_000);
    random.pickWeighted(this.#kinds).inject(id, forMs);
  }

  /** A random machine that is up and doesn't hang, mostly one that runs tasks. */
  anyMachine(): string | undefined {
    const { cluster, random } = this.context;
    const up = [...cluster.workers.values()].filter((worker) => worker.isUp && !worker.isHanging);
    const busy = up.filter((worker) => worker.attempts.size > 0);
    return random.pick(busy.length > 0 && random.chance(0.8) ? busy : up)?.id;
  }

  /** Stops the machine's processor for `forMs`. */
  hang(id: string, forMs: number): void {
    const worker = this.context.cluster.worker(id);
    worker.isHanging = true;
    this.context.faults.start(`${id} hangs`, forMs, () => {
      worker.isHanging = false;
    });
  }

  /** Drops responses and commands to the machine; its heartbeats arrive. */
  dropMessagesTo(id: string, forMs: number): void {
    const { cluster, faults } = this.context;
    faults.start(`messages to ${id} are lost`, forMs, cluster.dropMessagesTo(id));
  }

  #dropMessagesFrom(id: string, forMs: number): void {
    const { cluster, faults } = this.context;
    faults.start(`messages from ${id} are lost`, forMs, cluster.dropMessagesFrom(id));
  }

  #isolate(id: string, forMs: number): void {
    const { cluster, faults } = this.context;
    faults.start(`${id} is isolated`, forMs, cluster.isolateWorker(id));
  }

  #terminate(id: string): void {
    this.context.note(`${id} is terminated`);
    this.context.cluster.worker(id).terminate();
  }

  #reclaimSpot(id: string): void {
    const worker = this.context.cluster.worker(id);
    worker.spotNoticeS = SPOT_NOTICE_S;
    this.context.faults.start(`${id} has a spot interruption notice`, SPOT_NOTICE_S * 1000, () => {
      worker.terminate();
    });
  }

  #changeBootTime(forMs: number): void {
    const { cluster, faults, random } = this.context;
    const bootMs = random.between(300, 2000);
    faults.start(`new machines boot in ${bootMs} ms`, forMs, () => {
      cluster.bootMs = USUAL_BOOT_MS;
    });
    cluster.bootMs = bootMs;
  }
}
