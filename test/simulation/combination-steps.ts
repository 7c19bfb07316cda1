/** @file Steps that the fault combinations of the randomized simulation share. */
import { CONTROLLERS, type SimulationContext } from './context';
import type { StoreFaults } from './store-faults';
import type { UserActions } from './user-actions';
import type { UserClient } from './user-client';

const POLL_MS = 50;
const BUSY_WITHIN_MS = 15_000;
const CANCEL_RETRY_MS = 200;
const CANCEL_ATTEMPTS = 4;

/** The components that fault combinations use. */
export interface CombinationTools {
  readonly users: UserActions;
  readonly client: UserClient;
  readonly store: StoreFaults;
}

/** Which controller confirms a cancellation, and whether the store's response to the first write is lost. */
const CONFIRMATIONS = ['by the writer', 'by the writer, without an answer', 'by a reader'] as const;

/** Waits, long-running jobs and cancellations. Each of them stops early when the fault phase has ended. */
export class CombinationSteps {
  constructor(
    private readonly context: SimulationContext,
    private readonly tools: CombinationTools,
  ) {}

  async pause(minMs: number, maxMs: number): Promise<void> {
    await this.context.cluster.clock.sleep(this.context.random.between(minMs, maxMs));
  }

  /** Waits until a condition holds; returns whether it did before the timeout and within the fault phase. */
  async waitUntil(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    const { clock } = this.context.cluster;
    const end = clock.now() + timeoutMs;
    while (!condition() && clock.now() < end && !this.context.isFaultPhaseOver) await clock.sleep(POLL_MS);
    return condition() && !this.context.isFaultPhaseOver;
  }

  /** The two peers of a controller, in random order. */
  peersOf(index: number): [number, number] {
    const peers = CONTROLLERS.filter((other) => other !== index);
    if (this.context.random.chance(0.5)) peers.reverse();
    return [peers[0] ?? 0, peers[1] ?? 0];
  }

  /** Submits jobs with long-running tasks; returns the jobs of which a task is running some seconds later. */
  async runLongJobs(count: number): Promise<string[]> {
    const { cluster, random } = this.context;
    const ids = Array.from({ length: count }, () => this.tools.users.submitLong(random.between(2, 4)));
    const runs = (id: string): boolean => cluster.runningTasks.some((task) => task.startsWith(`${id}/`));
    await this.waitUntil(() => ids.every(runs), BUSY_WITHIN_MS);
    await this.pause(1_000, 4_000);
    return ids.filter(runs);
  }

  /** The machines that run tasks. */
  busyMachines(): string[] {
    const { cluster } = this.context;
    return [...new Set(cluster.runningTasks.map((task) => cluster.machineOf(task) ?? ''))];
  }

  /** Cancels a job, and retries like a user; returns whether a response confirmed the cancellation. */
  async cancel(id: string, index: number, attempts = CANCEL_ATTEMPTS): Promise<boolean> {
    for (let attempt = 0; attempt < attempts && !this.context.isFaultPhaseOver; attempt += 1) {
      this.context.note(`${id} is cancelled at node-${index}`);
      const response = await this.tools.client.request(index, 'POST', `/work/${id}/withdraw`);
      if (response?.status === 200) return true;
      await this.context.cluster.clock.sleep(CANCEL_RETRY_MS);
    }
    return false;
  }

  /**
   * Cancels jobs so that possibly only one controller knows of the cancellation: the one that wrote it, with or without
   * a response from the store, or one that read it.
   */
  async cancelAtOneController(ids: readonly string[], writer: number, reader: number): Promise<void> {
    const { cluster, faults, random } = this.context;
    const confirmation = CONFIRMATIONS[random.between(0, CONFIRMATIONS.length - 1)];
    if (confirmation !== 'by the writer') {
      const removeRule = cluster.network.rule(({ path, body }) =>
        path === '/txn' && JSON.stringify(body).includes('cancelled') ? 'lose answer' : undefined,
      );
      const endResponseLoss = faults.startOpenEnded('responses to cancellations are lost', removeRule);
      await Promise.all(ids.map((id) => this.cancel(id, writer, 1)));
      endResponseLoss();
    }
    const confirming = confirmation === 'by a reader' ? reader : writer;
    await Promise.all(ids.map((id) => this.cancel(id, confirming)));
  }
}
