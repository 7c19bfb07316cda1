/** @file Applies change events of the key-value store to the state of a shard. */
import { KEY, PREFIX, read } from '../../bookkeeping/records';
import { machinesOfRecord } from '../../bookkeeping/relay-records';
import type { ChangeEvent } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { Scheduler } from '../scheduling/scheduler';
import type { Machine } from './machine';
import type { Shard } from './shard';

/** The methods of the shard's owner that `RecordChangeHandler` calls. */
export interface RecordChangeListener {
  /** Removes a job that is done or cancelled from the shard, and evicts its attempts. */
  closeJob(id: string): void;
  /** Handles the termination of a machine, which ends every attempt on it. */
  onMachineTerminated(machine: Machine): void;
  /** Stops the owner, because it no longer holds the shard's lease. */
  stop(why: string): void;
}

/** Handles change events of job, machine and lease relay records, and of the shard's lease. */
export class RecordChangeHandler {
  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
    private readonly scheduler: Scheduler,
    private readonly listener: RecordChangeListener,
  ) {}

  /** Applies the change of a record to the shard's state; `previousValue` is undefined if the record was not known. */
  onChange(event: ChangeEvent, previousValue?: unknown): void {
    const { key } = event;
    if (key.startsWith(PREFIX.job)) {
      this.#onJob(event);
    } else if (key.startsWith(PREFIX.machine)) {
      this.#onMachine(event);
    } else if (key.startsWith(`${PREFIX.relay}${this.shard.number}/`)) {
      this.#onRelay(event, previousValue);
    } else if (key === KEY.lease(this.shard.number)) {
      this.#onLease(event);
    }
  }

  #onRelay({ deleted }: ChangeEvent, previousValue: unknown): void {
    if (!deleted && previousValue === undefined) return;
    // A relay may have renewed the leases that a record covered until the record was changed or deleted. A deleted record
    // that was never known may have covered all.
    this.scheduler.assumeLeasesRenewed(machinesOfRecord(previousValue), this.context.clock.now());
  }

  #onJob(event: ChangeEvent): void {
    if (event.deleted) this.listener.closeJob(event.key.slice(PREFIX.job.length));
    else this.shard.loadJob(event.value, event.version);
    this.shard.wake();
  }

  #onMachine(event: ChangeEvent): void {
    if (!event.deleted) {
      this.shard.loadMachine(event.key, event.value);
      return;
    }
    const id = event.key.slice(PREFIX.machine.length);
    const machine = this.shard.machines.get(id);
    if (!machine) return;
    this.listener.onMachineTerminated(machine);
    this.shard.machines.delete(id);
  }

  #onLease(event: ChangeEvent): void {
    const { shard } = this;
    const lease = event.deleted ? undefined : read.lease(event.value);
    // The change event of this owner's own token raise may arrive before the transaction's response, or without one.
    if (lease?.owner === this.context.controllerId && lease.token >= shard.fencingToken) {
      shard.fencingToken = lease.token;
      shard.leaseVersion = event.version;
    } else if (event.version > shard.leaseVersion) {
      this.listener.stop('lease lost');
    }
  }
}
