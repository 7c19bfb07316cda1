/** @file Checks of which workers of a shard other controllers may renew the leases. */
import {
  relayedMachines,
  unchangedRelayCondition,
  type RelayedMachines,
  type RelayId,
} from '../../bookkeeping/relay-records';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';

/** The part of a shard that the check uses. */
export interface RelayedShard {
  readonly number: number;
  readonly entitled: boolean;
  leaseCondition(): Condition;
}

/** Looks for the records that controllers write before they relay leases of the shard's workers. */
export class RelayCheck {
  constructor(
    private readonly shard: RelayedShard,
    private readonly context: ControllerContext,
  ) {}

  /** The machines whose worker leases other controllers may renew, according to the watch cache. */
  get relayedMachines(): RelayedMachines {
    return relayedMachines(this.context.cache, this.#relays());
  }

  /**
   * Checks that the store's relay records are those of the watch cache, and waits until the cache includes all changes
   * up to the check. Then no relay renewed a lease before the check without having listed the machine in a record that the cache
   * has or had.
   */
  async confirmRelayRecords(): Promise<boolean> {
    const { store, cache, clock } = this.context;
    const conditions = this.#relays().map((relay) => unchangedRelayCondition(cache, relay));
    const result = await store.compareAndSwap([this.shard.leaseCondition(), ...conditions], []);
    while (result.ok && cache.revision < result.revision && this.shard.entitled) await clock.sleep(20);
    return result.ok && this.shard.entitled;
  }

  #relays(): RelayId[] {
    const { others } = this.context.settings.platform;
    return others.map(({ node }) => ({ shard: this.shard.number, controller: node }));
  }
}
