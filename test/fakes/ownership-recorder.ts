/** @file Records the ownership of shards in the simulated deployment. */
import { KEY, read } from '../../src/bookkeeping/records';
import type { ControllerProcess } from './deployment';
import type { Request } from './network';
import type {
  OrphanedJob,
  OwnershipHistory,
  OwnershipInterval,
  UnauthorizedRequest,
} from './ownership-history';
import type { SimulatedCluster } from './simulated-cluster';

const SAMPLE_MS = 10;

/** Whether only the owner of a shard may send this request. */
function requiresOwnership({ method, path }: Request): boolean {
  return path === '/do' || (method === 'POST' && path.startsWith('/hosts'));
}

/**
 * Samples every controller's ownership every few milliseconds, and checks every request that a controller sends. Frozen
 * controllers are sampled too: one with a valid lease counts as owner, since it could resume and act at any moment.
 */
export class OwnershipRecorder {
  readonly #intervals: OwnershipInterval[] = [];
  readonly #currentIntervals = new Map<string, OwnershipInterval>();
  readonly #orphans: OrphanedJob[] = [];
  readonly #unauthorizedRequests: UnauthorizedRequest[] = [];
  readonly #removeRule: () => void;
  #isStopped = false;

  constructor(private readonly cluster: SimulatedCluster) {
    this.#removeRule = cluster.network.rule((request) => {
      this.#observe(request);
      return undefined;
    });
    this.#sample();
  }

  /** Records that a controller failed: the unfinished jobs of its shards are orphaned from now on. */
  recordControllerFailure(index: number): void {
    const now = this.cluster.clock.now();
    for (const owner of this.cluster.controllers[index]?.controller.owners.values() ?? []) {
      for (const job of owner.tables.keys()) {
        this.#orphans.push({ job, orphanedAt: now, reassignedAt: undefined });
      }
    }
  }

  /** Ends the recording and returns the history. */
  finish(): OwnershipHistory {
    this.#sampleOnce();
    this.#isStopped = true;
    this.#removeRule();
    return {
      intervals: this.#intervals,
      orphans: this.#orphans,
      effects: this.#unauthorizedRequests,
      endedAt: this.cluster.clock.now(),
    };
  }

  #sample(): void {
    if (this.#isStopped) return;
    this.#sampleOnce();
    this.cluster.clock.after(SAMPLE_MS, () => {
      this.#sample();
    });
  }

  #sampleOnce(): void {
    for (const controller of this.cluster.controllers) this.#sampleController(controller);
    for (const orphan of this.#orphans) {
      if (orphan.reassignedAt === undefined && this.#isOwnedOrFinished(orphan.job)) {
        orphan.reassignedAt = this.cluster.clock.now();
      }
    }
  }

  #sampleController({ name, controller, alive }: ControllerProcess): void {
    const now = this.cluster.clock.now();
    for (const [shard, owner] of controller.owners) {
      const key = `${shard}/${name}`;
      if (!alive || !owner.entitled) {
        this.#currentIntervals.delete(key);
        continue;
      }
      const current = this.#currentIntervals.get(key);
      // A higher token alone continues the interval; a shard that is acquired again gets a new interval.
      if (current && now - current.to <= 2 * SAMPLE_MS) {
        current.to = now;
        continue;
      }
      const interval = { shard, controller: name, token: this.#tokenOf(shard), from: now, to: now };
      this.#intervals.push(interval);
      this.#currentIntervals.set(key, interval);
    }
  }

  /** The shard's current fencing token, according to its lease record in the store. */
  #tokenOf(shard: number): number {
    return read.lease(this.cluster.store.data.get(KEY.lease(shard))?.data)?.token ?? 0;
  }

  #isOwnedOrFinished(job: string): boolean {
    if (!this.cluster.invariants.unfinishedJobs.includes(job)) return true;
    return this.cluster.controllers.some(
      ({ controller }, index) =>
        this.cluster.isRunning(index) &&
        [...controller.owners.values()].some((owner) => owner.entitled && owner.tables.has(job)),
    );
  }

  #observe(request: Request): void {
    if (!requiresOwnership(request)) return;
    const controller = this.cluster.controllers.find(({ name }) => name === request.from);
    if (!controller) return;
    const isEntitled = [...controller.controller.owners.values()].some((owner) => owner.entitled);
    if (isEntitled) return;
    const what = `${request.method} ${request.path} to ${request.to}`;
    this.#unauthorizedRequests.push({ controller: controller.name, what, at: this.cluster.clock.now() });
  }
}
