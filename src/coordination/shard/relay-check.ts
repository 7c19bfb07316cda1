/** @file Whether another controller relays leases of a shard's workers. */
import { KEY } from '../../bookkeeping/records';
import type { Condition } from '../../protocol/key-value-store';
import type { ControllerContext } from '../controller-context';

/** What the check needs of the shard. */
export interface RelayedShard {
  readonly number: number;
  readonly entitled: boolean;
  leaseCondition(): Condition;
}

/** Looks for the records that relays write before they answer. */
export class RelayCheck {
  constructor(
    private readonly shard: RelayedShard,
    private readonly context: ControllerContext,
  ) {}

  /** Whether any controller relays, as far as this controller's view of the records goes. */
  get isRelayed(): boolean {
    return this.#recordKeys().some((key) => this.context.cache.get(key) !== undefined);
  }

  /** Whether the key-value store says that no controller relays, and our view holds all that was relayed before. */
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
