/** @file Accounts for the resources of one machine: used by attempts, and free. */
import type { Resources } from '../../protocol/model';
import type { Attempt } from './attempt';
import type { Machine } from './machine';

/** Is notified whenever an attempt begins or ceases to occupy resources of a machine. */
export interface OccupancyListener {
  onOccupied(machine: Machine, attempt: Attempt): void;
  onReleased(machine: Machine, attempt: Attempt): void;
}

/** Keeps running totals of the resources that attempts occupy, because each round reads them for every machine. */
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

  /** A new object with the free resources, which the caller may modify. */
  free(): Resources {
    const { type } = this.machine;
    return {
      cpus: type.cpus - this.#used.cpus,
      gpus: type.gpus - this.#used.gpus,
      memoryGb: type.memoryGb - this.#used.memoryGb,
    };
  }

  /** Adds the attempt's resources to the used ones. */
  occupy(attempt: Attempt): void {
    this.#occupants += 1;
    this.#used.cpus += attempt.resources.cpus;
    this.#used.gpus += attempt.resources.gpus;
    this.#used.memoryGb += attempt.resources.memoryGb;
    this.listener?.onOccupied(this.machine, attempt);
  }

  /** Subtracts the attempt's resources from the used ones. */
  release(attempt: Attempt): void {
    this.#occupants -= 1;
    this.#used.cpus -= attempt.resources.cpus;
    this.#used.gpus -= attempt.resources.gpus;
    this.#used.memoryGb -= attempt.resources.memoryGb;
    // Sums of decimals accumulate rounding errors, so they are reset to zero when no attempt occupies resources.
    if (this.#occupants === 0) {
      this.#used.cpus = 0;
      this.#used.gpus = 0;
      this.#used.memoryGb = 0;
    }
    this.listener?.onReleased(this.machine, attempt);
  }
}
