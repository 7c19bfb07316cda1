import type { Clock } from '../base/clock';
import { PREFIX, read } from './records';
import type { WatchCache } from './watch-cache';

interface Size {
  cpus: number;
  gpus: number;
}

/** Between a record's end in our view and the answer to the user who asked for it. */
const TOLD_LATER_MS = 5_000;

/**
 * Jobs that ended lately. Tasks of a cancelled job may be on a machine out of reach for as long as the bound on
 * cancellations allows: whoever takes a shard over has to know whose limits they fill.
 */
export class EndedJobs {
  readonly #windowMs: number;
  /** In the order in which they ended. */
  #ended: (Size & { team: string; at: number })[] = [];

  constructor(
    private readonly cache: WatchCache,
    private readonly clock: Clock,
    cancelS: number,
    /** Whether a job that ended can't have had a task: one that it needed was cancelled. */
    neverStarted: (job: string) => boolean,
  ) {
    this.#windowMs = cancelS * 1000 + TOLD_LATER_MS;
    cache.onChange((event, before) => {
      if (!event.deleted || !event.key.startsWith(PREFIX.job)) return;
      if (neverStarted(event.key.slice(PREFIX.job.length))) return;
      const job = read.job(before)?.job;
      if (job) this.#add(job.team, { cpus: job.cpus * job.tasks, gpus: job.gpus * job.tasks });
    });
  }

  #add(team: string, size: Size): void {
    this.#forget();
    this.#ended.push({ ...size, team, at: this.clock.now() });
  }

  #forget(): void {
    const from = this.clock.now() - this.#windowMs;
    const first = this.#ended.findIndex(({ at }) => at >= from);
    this.#ended = first < 0 ? [] : this.#ended.slice(first);
  }

  /** What tasks of ended jobs may still use, by team; undefined when this node has not watched for long enough. */
  usageByTeam(): Map<string, Size> | undefined {
    if (this.clock.now() - this.cache.loadedAt < this.#windowMs) return undefined;
    this.#forget();
    const use = new Map<string, Size>();
    for (const { team, cpus, gpus } of this.#ended) {
      const sum = use.get(team) ?? { cpus: 0, gpus: 0 };
      use.set(team, { cpus: sum.cpus + cpus, gpus: sum.gpus + gpus });
    }
    return use;
  }
}
