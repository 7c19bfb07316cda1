import { describe } from '../base/loop';
import { changesAtOnce } from '../base/state-limits';
import { KEY, type MachineRecord } from '../bookkeeping/records';
import type { Block } from './block';
import type { NodeContext } from './node-context';
import type { Machine } from './machine';

const GATHER_MS = 40;
const MOST_AT_ONCE = 12;

interface Waiting {
  machine: Machine;
  address: string;
  resolve(ok: boolean): void;
}

/**
 * Before a machine gets its first answer it is recorded as up: a takeover then knows that it may hold tasks. Machines
 * come up by the dozen, so what is to be recorded within a moment goes into one transaction.
 */
export class UpRecords {
  readonly #pending = new Map<string, { promise: Promise<boolean>; waiting: Waiting }>();
  #writing = false;

  constructor(
    private readonly block: Block,
    private readonly deps: NodeContext,
  ) {}

  /** Resolves to true when the machine is recorded as up. */
  record(machine: Machine, address: string): Promise<boolean> {
    const pending = this.#pending.get(machine.id);
    if (pending) return pending.promise;
    let resolve: (ok: boolean) => void = () => undefined;
    const promise = new Promise<boolean>((r) => {
      resolve = r;
    });
    this.#pending.set(machine.id, { promise, waiting: { machine, address, resolve } });
    if (!this.#writing) void this.#writeAll();
    return promise;
  }

  async #writeAll(): Promise<void> {
    this.#writing = true;
    await this.deps.clock.sleep(GATHER_MS);
    while (this.#pending.size > 0) {
      const batch = [...this.#pending.values()]
        .slice(0, changesAtOnce(this.deps.settings.platform.deployment.state, MOST_AT_ONCE))
        .map((p) => p.waiting);
      const written = await this.#write(batch);
      for (const waiting of batch) {
        this.#pending.delete(waiting.machine.id);
        waiting.resolve(written.includes(waiting));
      }
    }
    this.#writing = false;
  }

  /** Returns those that are recorded. */
  async #write(asked: readonly Waiting[]): Promise<readonly Waiting[]> {
    try {
      const { cache, store, clock, log } = this.deps;
      // One that was returned while it waited has no record any more; a guard on its absence would bring it back, as up.
      const batch = asked.filter(({ machine }) => cache.version(KEY.machine(machine.id)) > 0);
      if (batch.length === 0) return [];
      const guards = [this.block.leaseGuard()];
      const changes = batch.map(({ machine, address }) => {
        const key = KEY.machine(machine.id);
        guards.push({ key, version: cache.version(key) });
        const value: MachineRecord = { ...machine.record, address, up: true };
        return { put: key, value };
      });
      const result = await store.txn(guards, changes);
      if (!result.ok) {
        // One that changed meanwhile holds up no other.
        const rest = batch.filter(({ machine }) => !result.failed.includes(KEY.machine(machine.id)));
        return rest.length > 0 && rest.length < batch.length ? await this.#write(rest) : [];
      }
      for (const { machine, address } of batch) {
        machine.up = true;
        machine.record.address = address;
        machine.idleSince = clock.now();
        const ageS = Math.round((machine.idleSince - machine.knownSince) / 1000);
        const { id, type, record } = machine;
        log.info({ machine: id, type: type.name, zone: record.zone, ageS }, 'machine up');
      }
      return batch;
    } catch (error) {
      this.deps.log.info({ err: describe(error) }, 'machines could not be recorded as up');
      return [];
    }
  }
}
