/** @file The machines whose workers are to be sent commands. */
import type { Machine } from './machine';

/** Machines with pending commands, in the order in which they came to have them. */
export class CommandQueue implements Iterable<Machine> {
  readonly #machines = new Set<Machine>();

  /** The machine has commands to be sent at the end of the round. */
  add(machine: Machine): void {
    this.#machines.add(machine);
  }

  /** The machine's commands are about to be sent, or no longer matter. */
  delete(machine: Machine): void {
    this.#machines.delete(machine);
  }

  /** Machines may be added and deleted meanwhile. */
  [Symbol.iterator](): Iterator<Machine> {
    return this.#machines.values();
  }
}
