/** @file Accounts for the resources of one machine: what its attempts occupy, and what is free. */
import type { Resources } from '../../protocol/model';
import type { Attempt } from './attempt';
import type { Machine } from './machine';

/** Is notified of every attempt that comes to occupy resources of a machine, and of every one that releases them. */
export interface OccupancyListener {
  onOccupied(machine: Machine, attempt: Attempt): void;
  onReleased(machine: Machine, attempt: Attempt): void;
}

/** Sums over the attempts that occupy resources, kept up to date: rounds ask for them for every machine. */
export class MachineResources {
  readonly #used: Resources = { cpus: 0, gpus: 0, memoryGb: 0 };
  #occupants = 0;

  constructor(
    private readonly machine: Machine,
    private readonly listener: OccupancyListener | undefined,
  ) {}

  /** Whether any attempt occupies resources. */
  get isBusy(): boolean {
    return this.#occupants > 0;
  }

  /** CPUs that no attempt occupies. */
  get freeCpus(): number {
    return this.machine.type.cpus - this.#used.cpus;
  }

  /** What is free, as an object of the caller's own. */
  free(): Resources {
    const { type } = this.machine;
    return {
      cpus: type.cpus - this.#used.cpus,
      gpus: type.gpus - this.#used.gpus,
      memoryGb: type.memoryGb - this.#used.memoryGb,
    };
  }

  /** The attempt comes to occupy its resources. */
  occupy(attempt: Attempt): void {
    this.#occupants += 1;
    this.#used.cpus += attempt.resources.cpus;
    this.#used.gpus += attempt.resources.gpus;
    this.#used.memoryGb += attempt.resources.memoryGb;
    this.listener?.onOccupied(this.machine, attempt);
  }

  /** The attempt no longer occupies its resources. */
  release(attempt: Attempt): void {
    this.#occupants -= 1;
    this.#used.cpus -= attempt.resources.cpus;
    this.#used.gpus -= attempt.resources.gpus;
    this.#used.memoryGb -= attempt.resources.memoryGb;
    // Sums of decimals drift; an empty machine is empty.
    if (this.#occupants === 0) {
      this.#used.cpus = 0;
      this.#used.gpus = 0;
      this.#used.memoryGb = 0;
    }
    this.listener?.onReleased(this.machine, attempt);
  }
}
