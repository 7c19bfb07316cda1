/** @file Scales a shard's fleet: rents, records and returns its machines. */
import type { MachineRecord } from '../../bookkeeping/records';
import type { ControllerContext } from '../controller-context';
import type { RegistrationOutcome } from '../shard/machine-registration';
import type { AutoscalerShard } from './autoscaler-shard';
import { RentalRecorder } from './rental-recorder';
import { ScaleIn } from './scale-in';
import { ScaleOut } from './scale-out';

/**
 * Rents and returns the shard's machines in three independent loops: a cloud that doesn't take machines back can still
 * rent, and a slow key-value store doesn't delay renting.
 */
export class Autoscaler {
  readonly #rentals: RentalRecorder;
  readonly #scaleOut: ScaleOut;
  readonly #scaleIn: ScaleIn;

  constructor(owner: AutoscalerShard, context: ControllerContext) {
    this.#rentals = new RentalRecorder(owner, context);
    this.#scaleOut = new ScaleOut(owner, context, this.#rentals);
    this.#scaleIn = new ScaleIn(owner, context);
  }

  /** Whether the machine was rented here and has no record yet. */
  isUnrecorded(id: string): boolean {
    return this.#rentals.isUnrecorded(id);
  }

  /** The worker of a machine without a record sends heartbeats: returns the record to write, which others then do. */
  beginRegistration(id: string): MachineRecord | undefined {
    return this.#rentals.beginRegistration(id);
  }

  /** What became of a record that was begun. */
  endRegistration(id: string, outcome: RegistrationOutcome): void {
    this.#rentals.endRegistration(id, outcome);
  }

  /** One step of returning machines; to be run in a loop of its own. */
  scaleInStep(signal: AbortSignal): Promise<void> {
    return this.#scaleIn.step(signal);
  }

  /** One step of renting; to be run in a loop of its own. */
  scaleOutStep(signal: AbortSignal): Promise<void> {
    return this.#scaleOut.step(signal);
  }

  /** One step of recording what was rented; to be run in a loop of its own. */
  recordRentalsStep(signal: AbortSignal): Promise<void> {
    return this.#rentals.step(signal);
  }
}
