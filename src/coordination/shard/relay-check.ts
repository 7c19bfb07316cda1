/** @file Checks whether another controller relays leases of a shard's workers. */
import { KEY } from '../../bookkeeping/records';
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

  /** Whether another controller relays leases of the shard's workers, according to the watch cache. */
  get isRelayed(): boolean {
    return this.#recordKeys().some((key) => this.context.cache.get(key) !== undefined);
  }

  /** Checks that the store contains no relay record, and waits until the watch cache includes all earlier changes. */
  async confirmNotRelayed(): Promise<boolean> {
    const { store, cache, clock } = this.context;
    const conditions = this.#recordKeys().map((key) => ({ key, version: 0 }));
    const result = await store.compareAndSwap([this.shard.leaseCondition(), ...conditions], []);
    while (result.ok && cache.revision < result.revision && this.shard.entitled) await clock.sleep(20);
    return result.ok && this.shard.entitled;
  }

  #recordKeys(): string[] {
    return this.context.settings.platform.others.map(({ node }) => KEY.relay(this.shard.number, node));
  }
}
