/** @file The leader's part of admission: it writes epochs and deletes what overloads leave behind. */
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';
import type { FormatGate } from '../bookkeeping/format-gate';
import { FORMAT, KEY, PREFIX, read } from '../bookkeeping/records';
import type { WatchCache } from '../bookkeeping/watch-cache';
import type { Change, ChangeEvent, Condition, KeyValueStore } from '../protocol/key-value-store';
import { initialEpoch, nextEpoch, type Epoch } from './epoch';
import { epochChanges, readEpoch } from './epoch-records';
import { countMachines, readLoadFacts, type FactsContext } from './load-facts';
import type { AdmissionOptions } from './options';
import { drainTimeS, GrowthWatch } from './overload';

const CHECK_MS = 1_000;
/** An epoch that comes late grants for no longer than so many intervals. */
const MAX_ELAPSED_EPOCHS = 3;
const DELETED_AT_ONCE = 8;

/** What the epoch writer works on. */
export interface EpochWriterContext extends FactsContext {
  readonly cache: WatchCache;
  readonly store: KeyValueStore;
  readonly clock: Clock;
  readonly log: Log;
  readonly formatGate: FormatGate;
  /** Changes that a transaction may have. */
  readonly changes: number;
  /** The condition that proves that this node leads; undefined when it doesn't. */
  leadership(): Condition | undefined;
  publish(event: ChangeEvent): void;
}

/**
 * Writes the next admission epoch while this node leads. All that it goes by lies in the state service, but for how long
 * the fleet has not grown, which every node observes: a new leader neither forgets an overload nor begins one anew. Each
 * write is guarded on the leader record and on the epoch before, so one that is carried out late changes nothing.
 */
export class EpochWriter {
  readonly #growth = new GrowthWatch();
  #writtenAt: number | undefined;
  #reportedWeights: string | undefined;

  constructor(
    private readonly context: EpochWriterContext,
    /** Undefined: admission is off here. */
    private readonly options: AdmissionOptions | undefined,
  ) {}

  /** One step; to be run in a loop on every node. */
  async step(signal: AbortSignal): Promise<void> {
    const { cache, clock } = this.context;
    await clock.sleep(CHECK_MS, signal);
    if (signal.aborted || !cache.loaded) return;
    if (this.options) this.#growth.observe(countMachines(cache), clock.now());
    const leadership = this.context.leadership();
    if (!leadership) {
      this.#writtenAt = undefined;
      return;
    }
    if (!this.options) await this.#switchOff(leadership);
    else if (this.context.formatGate.isOpenFor(FORMAT.admission))
      await this.#advance(leadership, this.options);
  }

  async #advance(leadership: Condition, options: AdmissionOptions): Promise<void> {
    const { cache, clock, log } = this.context;
    const found = readEpoch(cache, () => true);
    if (found.kind === 'stale') return;
    if (found.kind === 'malformed') {
      log.error({ key: KEY.admission }, 'the admission epoch cannot be read: it is left as it is');
      return;
    }
    const current = found.kind === 'epoch' ? found.epoch : initialEpoch(options.weights);
    this.#compareWeights(current, options);
    const now = clock.now();
    const epochMs = options.epochS * 1000;
    if (current.isOverloaded && this.#writtenAt !== undefined && now - this.#writtenAt < epochMs) return;
    const { load, flows } = readLoadFacts(this.context, current, options.enterS);
    const elapsedMs = Math.min(now - (this.#writtenAt ?? now - epochMs), epochMs * MAX_ELAPSED_EPOCHS);
    const stalledForS = this.#growth.stalledForS(now);
    const next = nextEpoch(current, { load, stalledForS, flows, elapsedS: elapsedMs / 1000 }, options);
    if (next === current) {
      await this.#cleanUp(leadership, current);
      return;
    }
    if (!(await this.#write(leadership, current, next, epochMs))) return;
    this.#writtenAt = now;
    this.#report(current, next, drainTimeS(load));
  }

  async #write(leadership: Condition, current: Epoch, next: Epoch, epochMs: number): Promise<boolean> {
    const { store, publish, changes: mostChanges } = this.context;
    const changes = epochChanges(this.#bounded(next, mostChanges - 1), epochMs);
    const conditions = [leadership, this.#condition(KEY.admission)];
    const result = await store.compareAndSwap(conditions, changes, 'urgent');
    if (!result.ok) return false;
    // The classes before the epoch that names them: a peer that has the one has the others.
    for (const change of [...changes].reverse()) {
      if (!('put' in change)) continue;
      publish({ key: change.put, version: result.revision, value: change.value, deleted: false });
    }
    return next.number > current.number;
  }

  /** Where there are more classes than a transaction has changes, the rest count as new flows. */
  #bounded(epoch: Epoch, mostClasses: number): Epoch {
    const classes = [...new Set(epoch.grants.map(({ jobClass }) => jobClass))];
    const kept = new Set(classes.slice(0, mostClasses));
    return { ...epoch, grants: epoch.grants.filter(({ jobClass }) => kept.has(jobClass)) };
  }

  #report(current: Epoch, next: Epoch, drainS: number): void {
    const { log } = this.context;
    const facts = { epoch: next.number, overload: next.overload, drainS: Math.round(drainS) };
    if (!current.isOverloaded) log.warn(facts, 'admission: overload begins');
    else if (!next.isOverloaded) log.warn(facts, 'admission: overload ends');
    else log.info({ ...facts, flows: next.grants.length }, 'admission: epoch');
  }

  /** Controllers with differing weights: those of the epoch hold until the overload is over. */
  #compareWeights(current: Epoch, options: AdmissionOptions): void {
    const theirs = JSON.stringify(current.weights);
    const differ = current.isOverloaded && theirs !== JSON.stringify(options.weights);
    if (differ && this.#reportedWeights !== theirs) {
      this.context.log.error({ inForce: current.weights }, 'admission: weights differ from those in force');
    }
    this.#reportedWeights = differ ? theirs : undefined;
  }

  /** Deletes records of overloads that are over. */
  async #cleanUp(leadership: Condition, current: Epoch): Promise<void> {
    if (current.isOverloaded) return;
    await this.#deleteSome(leadership, [PREFIX.admissionClass, PREFIX.admissionFlow], (value) => {
      const flow = read.admissionFlow(value);
      return flow === undefined || flow.overload <= current.overload;
    });
  }

  /** The switch is off at the leader: an overload in force ends at once for all. */
  async #switchOff(leadership: Condition): Promise<void> {
    const { cache, store, log } = this.context;
    if (cache.get(KEY.admission)) {
      const epoch = this.#condition(KEY.admission);
      const result = await store.compareAndSwap([leadership, epoch], [{ delete: KEY.admission }], 'urgent');
      if (result.ok) {
        log.warn({}, 'admission: switched off at the leader');
        this.context.publish({ key: KEY.admission, version: result.revision, deleted: true });
      }
      return;
    }
    await this.#deleteSome(leadership, [PREFIX.admissionClass, PREFIX.admissionFlow], () => true);
  }

  async #deleteSome(
    leadership: Condition,
    prefixes: readonly string[],
    isOver: (value: unknown) => boolean,
  ): Promise<void> {
    const { cache, store, changes } = this.context;
    const over = prefixes
      .flatMap((prefix) => [...cache.under(prefix)])
      .filter(({ value }) => isOver(value))
      .slice(0, Math.min(DELETED_AT_ONCE, changes));
    if (over.length === 0) return;
    const conditions = [
      leadership,
      this.#condition(KEY.admission),
      ...over.map(({ key, version }) => ({ key, version })),
    ];
    const deletions: Change[] = over.map(({ key }) => ({ delete: key }));
    await store.compareAndSwap(conditions, deletions);
  }

  #condition(key: string): Condition {
    return { key, version: this.context.cache.version(key) };
  }
}
