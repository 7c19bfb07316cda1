/** @file One controller: starts and stops its components, and answers users, workers and peers through them. */
import type { EventLoopDelay } from '../base/event-loop-delay';
import { describeError } from '../base/loop';
import type { Settings } from '../base/settings';
import type { JobStore } from '../bookkeeping/job-store';
import type { KeyValueStore } from '../protocol/key-value-store';
import type { JobStatus, MachineType, WorkerHeartbeat } from '../protocol/model';
import type { PeersReport } from '../suspicion/peers-report';
import { createControllerComponents, type ControllerComponents } from './controller-components';
import { startControllerLoops } from './controller-loops';
import type { Environment } from './environment';
import type { HeartbeatResponse } from './heartbeat-router';
import { onRecordChange } from './record-changes';
import type { ShardOwner } from './shard/shard-owner';

/** How long the response to a cancellation may wait for the records of jobs that depend on the cancelled one. */
const CANCEL_DEPENDENTS_MS = 1_000;

/** One controller: its copy of the records, its session, and the shards that it owns. */
export class Controller {
  readonly jobs: JobStore;
  readonly #components: ControllerComponents;
  readonly #stop = new AbortController();

  constructor(
    readonly settings: Settings,
    environment: Environment,
    /** Stands in for the client of the key-value store where one is given. */
    store?: KeyValueStore,
  ) {
    const components = createControllerComponents(settings, environment, store);
    const { context, cloudInventory, acquisition } = components;
    this.#components = components;
    this.jobs = context.jobs;
    context.dependencies.onReady(() => {
      for (const owner of acquisition.owners.values()) owner.onJobsReady();
    });
    cloudInventory.subscribe(context.cache);
    context.cache.onChange((event) => {
      onRecordChange(components, event);
    });
  }

  /** Starts its loops. */
  start(): void {
    startControllerLoops(this.#components, this.#stop.signal);
  }

  /** Ends its loops, and stops the owners of its shards. */
  stop(): void {
    this.#stop.abort();
    for (const owner of this.owners.values()) owner.stop('controller stops');
  }

  /** The machine types known so far. */
  get types(): readonly MachineType[] {
    return this.#components.machineTypes.all;
  }

  /** The owned shards by their numbers. */
  get owners(): ReadonlyMap<number, ShardOwner> {
    return this.#components.acquisition.owners;
  }

  /** Whether it knows enough to decide any request. */
  get isInitialized(): boolean {
    return this.#components.readiness.isInitialized;
  }

  /** Whether users are well served here. */
  get isReady(): boolean {
    return this.#components.readiness.isReady;
  }

  /** How this process keeps up with its work. */
  get eventLoopDelay(): EventLoopDelay {
    return this.#components.context.eventLoopDelay;
  }

  /** Adds what is known of a live job's progress, for display. */
  withProgress(status: JobStatus): JobStatus {
    return this.#components.progress.withProgress(status);
  }

  /**
   * Cancels a job unless it is done, and its dependents as far as that can be written at once; the leader does the rest.
   */
  async cancel(id: string): Promise<JobStatus | undefined> {
    const { context, progress, dependentCancellation } = this.#components;
    const { clock, log, dependencies } = context;
    const status = await this.jobs.cancel(id, progress.get(id)?.done ?? 0);
    if (status?.state !== 'cancelled' || dependencies.graph.pendingCancellations.size === 0) return status;
    const until = clock.now() + CANCEL_DEPENDENTS_MS;
    await dependentCancellation.cancelPending(until).catch((error: unknown) => {
      log.info({ job: id, err: describeError(error) }, 'dependents are still to be cancelled');
    });
    return status;
  }

  /** Answers a worker's heartbeat, without a promise where that is possible. */
  onHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatResponse | Promise<HeartbeatResponse> {
    return this.#components.heartbeatRouter.respond(heartbeat);
  }

  /** Takes in the content of a frame from a peer. */
  onPeerFrame(bytes: Uint8Array): void {
    this.#components.peerMessaging.onFrame(bytes);
  }

  /** What this controller and its peers hold of each other; undefined where suspicion is off. */
  peersReport(): PeersReport | undefined {
    return this.#components.context.suspicion?.report();
  }
}
