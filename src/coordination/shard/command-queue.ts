/** @file The queue of machines with pending commands. */
import type { Machine } from './machine';

/** Machines with pending commands, in the order of insertion. */
export class CommandQueue implements Iterable<Machine> {
  readonly #machines = new Set<Machine>();

  /** Queues a machine; its commands are sent at the end of the round. */
  add(machine: Machine): void {
    this.#machines.add(machine);
  }

  /** Removes a machine whose commands are about to be sent or are obsolete. */
  delete(machine: Machine): void {
    this.#machines.delete(machine);
  }

  /** Machines may be added and deleted during iteration. */
  [Symbol.iterator](): Iterator<Machine> {
    return this.#machines.values();
  }
}
