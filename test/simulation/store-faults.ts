/** @file Faults of the key-value store in the randomized simulation. */
import type { Request } from '../fakes/network';
import type { StoreFault } from '../fakes/key-value-store';
import type { SimulationContext } from './context';

interface StoreFaultKind {
  readonly weight: number;
  /** `share` is the fraction of requests that the fault affects. */
  inject(forMs: number, share: number): void;
}

/** Injects outages, refusals, delays and lost responses of the key-value store. */
export class StoreFaults {
  readonly #kinds: readonly StoreFaultKind[] = [
    { weight: 1, inject: (forMs, share) => this.#delayTransactions(forMs, share) },
    { weight: 1, inject: (forMs, share) => this.#loseAnswers(forMs, share) },
    { weight: 1, inject: (forMs, share) => this.#slowDown(forMs, share) },
    { weight: 1, inject: (forMs) => this.refuse(this.#ownerMostly(), forMs) },
    { weight: 1, inject: (forMs) => this.outage(this.#outageMs(forMs)) },
    { weight: 1, inject: (forMs, share) => this.#delayTransactionsOfOne(forMs, share) },
  ];

  constructor(private readonly context: SimulationContext) {}

  /** Injects a random fault of the store. */
  injectAny(): void {
    const { random } = this.context;
    const forMs = random.between(1_000, 15_000);
    const share = random.pick([0.1, 0.3, 1]) ?? 0;
    random.pickWeighted(this.#kinds).inject(forMs, share);
  }

  /** Makes the store refuse all requests of a controller for `forMs`. */
  refuse(index: number, forMs: number): void {
    const { cluster, faults } = this.context;
    const name = `node-${index}`;
    if (cluster.store.refused.has(name)) return;
    cluster.store.refused.add(name);
    faults.start(`the store refuses ${name}`, forMs, () => cluster.store.refused.delete(name));
  }

  /** Makes the store refuse all requests of a controller until the caller calls the returned function. */
  startRefusal(index: number): () => void {
    const { cluster, faults } = this.context;
    const name = `node-${index}`;
    cluster.store.refused.add(name);
    return faults.startOpenEnded(`the store refuses ${name}`, () => cluster.store.refused.delete(name));
  }

  /** Makes the store refuse all requests for `forMs`. */
  outage(forMs: number): void {
    const { cluster, faults } = this.context;
    if (cluster.store.refused.has('*')) return;
    cluster.store.outage(true);
    faults.start('outage of the store', forMs, () => {
      cluster.store.outage(false);
    });
  }

  /** Makes the store refuse all requests until the caller calls the returned function. */
  startOutage(): () => void {
    const { cluster, faults } = this.context;
    cluster.store.outage(true);
    return faults.startOpenEnded('outage of the store', () => {
      cluster.store.outage(false);
    });
  }

  #ownerMostly(): number {
    const { context } = this;
    return context.random.chance(0.7) ? context.ownerOrAny() : context.anyController();
  }

  #outageMs(forMs: number): number {
    const { random } = this.context;
    return random.chance(0.5) ? forMs : random.between(20_000, 45_000);
  }

  #delayTransactions(forMs: number, share: number): void {
    const remove = this.#addRule((request) => this.#lateTransaction(request, share));
    this.context.faults.start(`transactions are delayed: ${share}`, forMs, remove);
  }

  #delayTransactionsOfOne(forMs: number, share: number): void {
    const name = `node-${this.context.anyController()}`;
    const remove = this.#addRule((request) =>
      request.from === name ? this.#lateTransaction(request, share) : undefined,
    );
    this.context.faults.start(`transactions of ${name} are delayed: ${share}`, forMs, remove);
  }

  #loseAnswers(forMs: number, share: number): void {
    const remove = this.#addRule((request) => (this.#isAffected(request, share) ? 'lose answer' : undefined));
    this.context.faults.start(`responses to transactions are lost: ${share}`, forMs, remove);
  }

  #slowDown(forMs: number, share: number): void {
    const { faults, random } = this.context;
    const remove = this.#addRule(() =>
      random.chance(share) ? { slowMs: random.between(50, 1_600) } : undefined,
    );
    faults.start(`the store is slow: ${share}`, forMs, remove);
  }

  #addRule(rule: (request: Request) => StoreFault | undefined): () => void {
    return this.context.cluster.store.rule(rule);
  }

  #lateTransaction(request: Request, share: number): StoreFault | undefined {
    if (!this.#isAffected(request, share)) return undefined;
    return { lateMs: this.context.random.between(2_000, 12_000) };
  }

  #isAffected({ path }: Request, share: number): boolean {
    return path === '/txn' && this.context.random.chance(share);
  }
}
