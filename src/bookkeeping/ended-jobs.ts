/** @file The resources that tasks of recently ended jobs may still use. */
import type { Clock } from '../base/clock';
import { PREFIX, read } from './records';
import type { WatchCache } from './watch-cache';

/** CPUs and GPUs that tasks use. */
export interface TaskUsage {
  cpus: number;
  gpus: number;
}

interface EndedJob {
  readonly team: string;
  readonly usage: TaskUsage;
  /** Monotonic time at which this controller learned that the job had ended. */
  readonly endedAt: number;
}

const MS_PER_S = 1000;
/** Longest time from a job's deletion in the watch cache to the response to the user who cancelled the job. */
const MAX_RESPONSE_DELAY_MS = 5_000;

/**
 * Tracks jobs that ended recently. Tasks of a cancelled job may run on an unreachable machine until the time limit for
 * cancellations, so a controller that acquires a shard has to count them against the limits of their teams.
 */
export class EndedJobs {
  readonly #windowMs: number;
  /** Sorted by `endedAt`. */
  #ended: EndedJob[] = [];

  constructor(
    private readonly cache: WatchCache,
    private readonly clock: Clock,
    cancelS: number,
    /** Whether no task of an ended job was ever started, because one of its dependencies was cancelled. */
    neverStarted: (job: string) => boolean,
  ) {
    this.#windowMs = cancelS * MS_PER_S + MAX_RESPONSE_DELAY_MS;
    cache.onChange((event, previousValue) => {
      if (!event.deleted || !event.key.startsWith(PREFIX.job)) return;
      if (neverStarted(event.key.slice(PREFIX.job.length))) return;
      const job = read.job(previousValue)?.job;
      if (job) this.#add(job.team, { cpus: job.cpus * job.tasks, gpus: job.gpus * job.tasks });
    });
  }

  #add(team: string, usage: TaskUsage): void {
    this.#forgetOld();
    this.#ended.push({ team, usage, endedAt: this.clock.now() });
  }

  #forgetOld(): void {
    const from = this.clock.now() - this.#windowMs;
    const first = this.#ended.findIndex(({ endedAt }) => endedAt >= from);
    this.#ended = first < 0 ? [] : this.#ended.slice(first);
  }

  /** Resources that tasks of ended jobs may use, by team; undefined until the cache has been loaded for `#windowMs`. */
  usageByTeam(): Map<string, TaskUsage> | undefined {
    if (this.clock.now() - this.cache.loadedAt < this.#windowMs) return undefined;
    this.#forgetOld();
    const usageByTeam = new Map<string, TaskUsage>();
    for (const { team, usage } of this.#ended) {
      const sum = usageByTeam.get(team) ?? { cpus: 0, gpus: 0 };
      usageByTeam.set(team, { cpus: sum.cpus + usage.cpus, gpus: sum.gpus + usage.gpus });
    }
    return usageByTeam;
  }
}
