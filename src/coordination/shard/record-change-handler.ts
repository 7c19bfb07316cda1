/** @file Takes changes of records in the key-value store into the state of a shard. */
import { KEY, PREFIX, read } from '../../bookkeeping/records';
import type { ChangeEvent } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';
import type { Scheduler } from '../scheduling/scheduler';
import type { Machine } from './machine';
import type { Shard } from './shard';

/** What follows for the shard's owner from changes of records. */
export interface RecordChangeListener {
  /** The job is over: done or cancelled. */
  closeJob(id: string): void;
  /** The machine, and all on it, is gone. */
  onMachineTerminated(machine: Machine): void;
  /** The shard's lease is no longer this owner's. */
  stop(why: string): void;
}

/** Follows the records of jobs, machines, lease relays and the shard's lease. */
export class RecordChangeHandler {
  constructor(
    private readonly shard: Shard,
    private readonly context: ControllerContext,
    private readonly scheduler: Scheduler,
    private readonly listener: RecordChangeListener,
  ) {}

  /** A record changed. */
  onChange(event: ChangeEvent): void {
    const { key } = event;
    if (key.startsWith(PREFIX.job)) {
      this.#onJob(event);
    } else if (key.startsWith(PREFIX.machine)) {
      this.#onMachine(event);
    } else if (key.startsWith(`${PREFIX.relay}${this.shard.number}/`)) {
      // Up to the end of its record a relay may have answered.
      this.scheduler.assumeAllLeasesRenewed(this.context.clock.now());
    } else if (key === KEY.lease(this.shard.number)) {
      this.#onLease(event);
    }
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
    // Our own raise of the token may come back here before its answer does, or instead of it.
    if (lease?.owner === this.context.controllerId && lease.token >= shard.fencingToken) {
      shard.fencingToken = lease.token;
      shard.leaseVersion = event.version;
    } else if (event.version > shard.leaseVersion) {
      this.listener.stop('lease lost');
    }
  }
}
