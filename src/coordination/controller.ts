/** @file One controller: starts and stops its components, and passes requests and peer messages to them. */
import type { EventLoopDelay } from '../base/event-loop-delay';
import { describeError } from '../base/loop';
import type { RefusedMessages } from '../base/refused-messages';
import type { Settings } from '../base/settings';
import type { RecordMemory } from '../bookkeeping/record-memory';
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

/** Longest time that the response to a cancellation waits for the dependents to be recorded as cancelled. */
const MAX_CANCEL_DEPENDENTS_MS = 1_000;

/** One controller: its watch cache, its session, and the shards that it owns. */
export class Controller {
  readonly jobs: JobStore;
  readonly #components: ControllerComponents;
  readonly #stop = new AbortController();

  constructor(
    readonly settings: Settings,
    environment: Environment,
    /** Replaces the HTTP client of the key-value store, if given. */
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
    context.cache.onChange((event, previousValue) => {
      onRecordChange(components, event, previousValue);
    });
  }

  /** Starts the loops of the components. */
  start(): void {
    startControllerLoops(this.#components, this.#stop.signal);
  }

  /** Stops the loops and the shard owners. */
  stop(): void {
    this.#stop.abort();
    for (const owner of this.owners.values()) owner.stop('controller stops');
  }

  /** The latest known machine types; empty before they are first read. */
  get types(): readonly MachineType[] {
    return this.#components.machineTypes.all;
  }

  /** The owners of the shards of this controller, by shard number. */
  get owners(): ReadonlyMap<number, ShardOwner> {
    return this.#components.acquisition.owners;
  }

  /** Whether the records and the machine types are loaded; before that no request can be decided. */
  get isInitialized(): boolean {
    return this.#components.readiness.isInitialized;
  }

  /** Whether the load balancer should send users to this controller. */
  get isReady(): boolean {
    return this.#components.readiness.isReady;
  }

  /** The memory that live records take, and its limit. */
  get memory(): RecordMemory {
    return this.#components.context.memory;
  }

  /** The event-loop delay of this process, which decides what work to shed. */
  get eventLoopDelay(): EventLoopDelay {
    return this.#components.context.eventLoopDelay;
  }

  /** Counts the messages that this process refuses. */
  get refusedMessages(): RefusedMessages {
    return this.#components.context.refusedMessages;
  }

  /** Adds the latest reported progress to the status of a live job, for display. */
  withProgress(status: JobStatus): JobStatus {
    return this.#components.progress.withProgress(status);
  }

  /** Cancels a job unless it is done, and as many dependents as the time limit allows; the leader cancels the rest. */
  async cancel(id: string): Promise<JobStatus | undefined> {
    const { context, progress, dependentCancellation } = this.#components;
    const { clock, log, dependencies } = context;
    const status = await this.jobs.cancel(id, progress.get(id)?.done ?? 0);
    if (status?.state !== 'cancelled' || dependencies.graph.pendingCancellations.size === 0) return status;
    const until = clock.now() + MAX_CANCEL_DEPENDENTS_MS;
    await dependentCancellation.cancelPending(until).catch((error: unknown) => {
      log.info({ job: id, err: describeError(error) }, 'cancellation of dependents failed');
    });
    return status;
  }

  /** Responds to a worker's heartbeat. Returns a promise only if the machine has to be recorded as up first. */
  onHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatResponse | Promise<HeartbeatResponse> {
    return this.#components.heartbeatRouter.respond(heartbeat);
  }

  /** Handles the content of a frame that came from the address `sender`. */
  onPeerFrame(bytes: Uint8Array, sender: string): void {
    this.#components.peerMessaging.onFrame(bytes, sender);
  }

  /** The status that this controller and its peers report of each other; undefined if suspicion is off. */
  peersReport(): PeersReport | undefined {
    return this.#components.context.suspicion?.report();
  }
}
