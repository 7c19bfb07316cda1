/** @file The leader's part of admission: writes epochs and deletes the records of earlier overloads. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import { eventOfChange } from '../bookkeeping/change-events';
import type { FormatGate } from '../bookkeeping/format-gate';
import { FORMAT, KEY, PREFIX, read } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { Change, ChangeEvent, Condition, KeyValueStore } from '../protocol/key-value-store';
import { initialEpoch, nextEpoch, type Epoch } from './epoch';
import { epochChanges, readEpoch } from './epoch-records';
import { countMachines, readLoadSnapshot, type LoadContext } from './load-snapshot';
import type { AdmissionOptions } from './options';
import { drainTimeS, FleetGrowthTracker } from './overload';

const CHECK_INTERVAL_MS = 1_000;
const MS_PER_S = 1_000;
/** An epoch that is written late grants work for at most this many epoch intervals. */
const MAX_ELAPSED_EPOCHS = 3;
const MAX_DELETIONS_AT_ONCE = 8;

/** The services and limits that the epoch writer uses. */
export interface EpochWriterContext extends LoadContext {
  readonly cache: WatchCache;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly formatGate: FormatGate;
  /** Maximum number of changes in a transaction. */
  readonly maxChanges: number;
  /** The condition by which a transaction succeeds only while this controller leads; undefined when it doesn't. */
  leaderCondition(): Condition | undefined;
  /** Applies a change that the key-value store has acknowledged to the watch cache, and notifies the peers. */
  publish(event: ChangeEvent): void;
}

/**
 * Writes the next admission epoch while this controller is the leader. Admission state is in the key-value store, except
 * for the time since the fleet last grew, which every controller tracks. So an overload continues unchanged under a new
 * leader. Each transaction has the leader record and the previous epoch as conditions, so a delayed transaction fails
 * after another leader was elected or another epoch was written.
 */
export class EpochWriter {
  readonly #growth = new FleetGrowthTracker();
  #writtenAt: number | undefined;
  /** The epoch's weights, as JSON, if they differ from this controller's and this was logged; undefined otherwise. */
  #reportedWeights: string | undefined;

  constructor(
    private readonly context: EpochWriterContext,
    /** Undefined when admission is off at this controller. */
    private readonly options: AdmissionOptions | undefined,
  ) {}

  /** Waits for the check interval, then writes or deletes records if needed. Runs in a loop on every controller. */
  async step(signal: AbortSignal): Promise<void> {
    const { cache, clock, formatGate } = this.context;
    await clock.sleep(CHECK_INTERVAL_MS, signal);
    if (signal.aborted || !cache.isLoaded) return;
    if (this.options) this.#growth.observe(countMachines(cache), clock.now());
    const leaderCondition = this.context.leaderCondition();
    if (!leaderCondition) this.#writtenAt = undefined;
    else if (!this.options) await this.#deleteAllRecords(leaderCondition);
    else if (formatGate.isOpenFor(FORMAT.admission)) await this.#advance(leaderCondition, this.options);
  }

  async #advance(leaderCondition: Condition, options: AdmissionOptions): Promise<void> {
    const current = this.#readCurrent(options);
    if (!current) return;
    this.#logWeightMismatch(current, options);
    const now = this.context.clock.now();
    const epochMs = options.epochS * MS_PER_S;
    if (current.isOverloaded && this.#writtenAt !== undefined && now - this.#writtenAt < epochMs) return;
    const { load, flows } = readLoadSnapshot(this.context, current, options.enterS);
    const stalledForS = this.#growth.stalledForS(now);
    const elapsedS = this.#elapsedMs(now, epochMs) / MS_PER_S;
    const next = nextEpoch(current, { load, stalledForS, flows, elapsedS }, options);
    if (next === current) {
      await this.#deleteObsoleteRecords(leaderCondition, current);
      return;
    }
    if (!(await this.#write(leaderCondition, next, epochMs))) return;
    this.#writtenAt = now;
    this.#logEpoch(current, next, drainTimeS(load));
  }

  /** The epoch in the watch cache, or the initial epoch; undefined while its records are stale or malformed. */
  #readCurrent(options: AdmissionOptions): Epoch | undefined {
    const found = readEpoch(this.context.cache, () => true);
    switch (found.kind) {
      case 'epoch':
        return found.epoch;
      case 'none':
        return initialEpoch(options.weights);
      case 'stale':
        return undefined;
      case 'malformed':
        this.context.log.error(
          { key: KEY.admission },
          'malformed admission epoch: no further epoch is written',
        );
        return undefined;
    }
  }

  /** Time since this leader's last epoch (limited), for which the next grants work; one interval if the leader wrote none. */
  #elapsedMs(now: number, epochMs: number): number {
    const writtenAt = this.#writtenAt ?? now - epochMs;
    return Math.min(now - writtenAt, epochMs * MAX_ELAPSED_EPOCHS);
  }

  async #write(leaderCondition: Condition, next: Epoch, epochMs: number): Promise<boolean> {
    const { store, publish, maxChanges } = this.context;
    const changes = epochChanges(limitClasses(next, maxChanges - 1), epochMs);
    const conditions = [leaderCondition, this.#condition(KEY.admission)];
    const result = await store.compareAndSwap(conditions, changes, 'urgent');
    if (!result.ok) return false;
    // Class records are published before the header, so that a peer with the new header also has the class records.
    for (const change of [...changes].reverse()) publish(eventOfChange(change, result.revision));
    return true;
  }

  #logEpoch(current: Epoch, next: Epoch, drainS: number): void {
    const { log } = this.context;
    const logFields = { epoch: next.number, overload: next.overload, drainS: Math.round(drainS) };
    if (!current.isOverloaded) log.warn(logFields, 'admission: overload began');
    else if (!next.isOverloaded) log.warn(logFields, 'admission: overload ended');
    else log.info({ ...logFields, flows: next.grants.length }, 'admission: epoch written');
  }

  /** Logs an error if this controller's weights differ from the epoch's, which apply until the overload ends. */
  #logWeightMismatch(current: Epoch, options: AdmissionOptions): void {
    const inForce = JSON.stringify(current.weights);
    const differ = current.isOverloaded && inForce !== JSON.stringify(options.weights);
    if (differ && this.#reportedWeights !== inForce) {
      this.context.log.error(
        { inForce: current.weights },
        'admission: weights differ from those of the current overload',
      );
    }
    this.#reportedWeights = differ ? inForce : undefined;
  }

  /** Unless there is an overload, deletes class records and the flow records of past overloads. */
  async #deleteObsoleteRecords(leaderCondition: Condition, current: Epoch): Promise<void> {
    if (current.isOverloaded) return;
    await this.#deleteRecords(leaderCondition, (value) => {
      const flow = read.admissionFlow(value);
      return flow === undefined || flow.overload <= current.overload;
    });
  }

  /** Deletes the epoch, which ends an overload for all controllers at once. Later `step` calls delete the rest. */
  async #deleteAllRecords(leaderCondition: Condition): Promise<void> {
    if (this.context.cache.get(KEY.admission)) await this.#deleteEpoch(leaderCondition);
    else await this.#deleteRecords(leaderCondition, () => true);
  }

  async #deleteEpoch(leaderCondition: Condition): Promise<void> {
    const { store, log, publish } = this.context;
    const deletion: Change = { delete: KEY.admission };
    const conditions = [leaderCondition, this.#condition(KEY.admission)];
    const result = await store.compareAndSwap(conditions, [deletion], 'urgent');
    if (!result.ok) return;
    log.warn({}, 'admission is off at the leader: epoch deleted');
    publish(eventOfChange(deletion, result.revision));
  }

  /** Deletes obsolete class and flow records: at most `MAX_DELETIONS_AT_ONCE`, and no more than fit into a transaction. */
  async #deleteRecords(leaderCondition: Condition, isObsolete: (value: unknown) => boolean): Promise<void> {
    const { cache, store, maxChanges } = this.context;
    const obsolete = [PREFIX.admissionClass, PREFIX.admissionFlow]
      .flatMap((prefix) => [...cache.under(prefix)])
      .filter(({ value }) => isObsolete(value))
      .slice(0, Math.min(MAX_DELETIONS_AT_ONCE, maxChanges));
    if (obsolete.length === 0) return;
    const conditions = [
      leaderCondition,
      this.#condition(KEY.admission),
      ...obsolete.map(({ key, version }) => ({ key, version })),
    ];
    const deletions: Change[] = obsolete.map(({ key }) => ({ delete: key }));
    await store.compareAndSwap(conditions, deletions);
  }

  #condition(key: string): Condition {
    return { key, version: this.context.cache.version(key) };
  }
}

/** Omits classes whose records don't fit into one transaction. Flows of omitted classes get the grant of a new flow. */
function limitClasses(epoch: Epoch, maxClasses: number): Epoch {
  const classes = [...new Set(epoch.grants.map(({ jobClass }) => jobClass))];
  const kept = new Set(classes.slice(0, maxClasses));
  return { ...epoch, grants: epoch.grants.filter(({ jobClass }) => kept.has(jobClass)) };
}
