/** @file Scales a shard's fleet: rents, records and releases its machines. */
import type { MachineRecord } from '../../bookkeeping/records';
import type { ControllerContext } from '../controller-context';
import type { RegistrationOutcome } from '../shard/machine-registration';
import type { AutoscalerShard } from './autoscaler-shard';
import { RentalRecorder } from './rental-recorder';
import { ScaleIn } from './scale-in';
import { ScaleOut } from './scale-out';

/**
 * Rents, records and releases the shard's machines in three independent loops, so that renting goes on while the cloud
 * fails to delete machines or the key-value store is slow.
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

  /** Whether this owner rented the machine and the machine has no record yet. */
  isUnrecorded(id: string): boolean {
    return this.#rentals.isUnrecorded(id);
  }

  /** Called for a heartbeat from an unrecorded machine. Returns the record to write if this owner rented the machine. */
  beginRegistration(id: string): MachineRecord | undefined {
    return this.#rentals.beginRegistration(id);
  }

  /** Called with the outcome of a registration that `beginRegistration` began. */
  endRegistration(id: string, outcome: RegistrationOutcome): void {
    this.#rentals.endRegistration(id, outcome);
  }

  /** One step of scale-in; to be run in a loop of its own. */
  scaleInStep(signal: AbortSignal): Promise<void> {
    return this.#scaleIn.step(signal);
  }

  /** One step of scale-out; to be run in a loop of its own. */
  scaleOutStep(signal: AbortSignal): Promise<void> {
    return this.#scaleOut.step(signal);
  }

  /** One step of recording rented machines; to be run in a loop of its own. */
  recordRentalsStep(signal: AbortSignal): Promise<void> {
    return this.#rentals.step(signal);
  }
}
