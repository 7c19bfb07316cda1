/** @file One controller: wires its parts together, and answers workers, users and peers. */
import { EpochWriter } from '../admission/epoch-writer';
import { WakeSignal } from '../base/clock';
import type { EventLoopDelay } from '../base/event-loop-delay';
import { describeError, runLoop } from '../base/loop';
import type { Settings } from '../base/settings';
import { changesAtOnce } from '../base/state-limits';
import { isCompletionKey } from '../bookkeeping/completion-records';
import type { JobStore } from '../bookkeeping/job-store';
import { KEY, PREFIX, read } from '../bookkeeping/records';
import { isTypesKey } from '../bookkeeping/type-records';
import type { JobStatus, MachineType, WorkerHeartbeat } from '../protocol/model';
import { readPeerMessage, writePeerMessage, type PeerMessage } from '../protocol/peers';
import type { ChangeEvent, KeyValueStore } from '../protocol/key-value-store';
import { FixedTimeout } from '../suspicion/peer-liveness';
import { areMostUnreachable, PeerReachability } from '../suspicion/peer-reachability';
import type { PeersReport } from '../suspicion/peers-report';
import type { OwnerResponse } from './shard/owner-response';
import type { ShardOwner } from './shard/shard-owner';
import type { Environment } from './environment';
import { CloudInventory } from './autoscaling/cloud-inventory';
import { JobProgressTable } from './job-progress';
import type { MachineTypes } from './machine-types';
import type { ControllerContext } from './controller-context';
import { createControllerServices, type ControllerServices } from './controller-services';
import { ShardAcquisition } from './ownership/shard-acquisition';
import { Leader } from './ownership/leader';
import { LeaseExtension } from './ownership/lease-extension';
import { LeaseRelay } from './ownership/lease-relay';
import { heartbeatMessages } from './ownership/heartbeat-messages';

const LEADER_PAUSE_MS = 1_000;
const OWNER_PAUSE_MS = 500;
const PROGRESS_MS = 1_000;
const LEASE_RELAY_MS = 250;
const FRESH_FOR_MS = 4_000;
/** How far apart nodes may notice the same outage: their watches' ends, and the pace at which they speak. */
const NOTICE_SPREAD_MS = 2_500;
const PEER_MEMORY_MS = 3_500;
/** How long the answer to a cancellation may wait for the records of jobs that need the cancelled one. */
const CANCEL_DEPENDENTS_MS = 1_000;
const QUIET_PREFIXES = [
  PREFIX.machine,
  PREFIX.dependencyPart,
  PREFIX.admissionClass,
  PREFIX.admissionFlow,
] as const;

/** Records whose changes concern neither the leader nor the acquisition of shards. */
function isQuietKey(key: string): boolean {
  return (
    isCompletionKey(key) || key === KEY.admission || QUIET_PREFIXES.some((prefix) => key.startsWith(prefix))
  );
}

/** What a node answers a worker's report. */
export type HeartbeatResponse = OwnerResponse | { kind: 'redirect'; owner: string | undefined };

/** One controller: its copy of the records, its lease, and the shards that it owns. */
export class Controller {
  readonly jobs: JobStore;
  readonly #context: ControllerContext;
  readonly #machineTypes: MachineTypes;
  readonly #dependentCancellation: ControllerServices['dependentCancellation'];
  readonly #leader: Leader;
  readonly #epochWriter: EpochWriter;
  readonly #cloudInventory: CloudInventory;
  readonly #leaseExtension: LeaseExtension;
  readonly #reachability: PeerReachability;
  readonly #leaseRelay: LeaseRelay;
  readonly #acquisition: ShardAcquisition;
  readonly #progress: JobProgressTable;
  readonly #leaderWake: WakeSignal;
  readonly #ownerWake: WakeSignal;
  readonly #stop = new AbortController();

  constructor(
    readonly settings: Settings,
    private readonly environment: Environment,
    store?: KeyValueStore,
  ) {
    const services = createControllerServices(settings, environment, store);
    const { context } = services;
    const { clock, cache } = context;
    this.#context = context;
    this.#machineTypes = services.machineTypes;
    this.#dependentCancellation = services.dependentCancellation;
    this.jobs = context.jobs;
    this.#progress = new JobProgressTable(cache);
    const liveness = context.suspicion ?? new FixedTimeout(clock);
    this.#reachability = new PeerReachability(clock, liveness);
    this.#cloudInventory = new CloudInventory(context.cloud, clock);
    this.#leader = new Leader(context, this.#cloudInventory, () => !this.#leaseExtension.mayAcquireShards);
    this.#epochWriter = this.#createEpochWriter(services);
    this.#leaseExtension = new LeaseExtension(
      context,
      (message) => {
        environment.broadcast(writePeerMessage(message));
      },
      () => this.#acquisition.isAcquiring,
      environment.startedAt,
    );
    this.#acquisition = new ShardAcquisition(context, this.#reachability, this.#leaseExtension);
    this.#leaseRelay = new LeaseRelay(context, this.#reachability);
    this.#leaderWake = new WakeSignal(clock);
    this.#ownerWake = new WakeSignal(clock);
    context.dependencies.onReady(() => {
      for (const owner of this.owners.values()) owner.onJobsReady();
    });
    this.#cloudInventory.watch(cache);
    cache.onChange((event) => {
      this.#onChange(event);
    });
  }

  #createEpochWriter({ context, admission }: ControllerServices): EpochWriter {
    const { dependencies, settings } = context;
    const { state, teams } = settings.platform.deployment;
    return new EpochWriter(
      {
        ...context,
        changes: changesAtOnce(state),
        progressOf: (id) => this.#progress.get(id),
        waitsForJobs: (id) => dependencies.graph.has(id) && !dependencies.isReady(id),
        teamLimit: (team) => teams.find(({ name }) => name === team)?.cpus_max ?? 0,
        leaderCondition: () => this.#leader.leadershipCondition(),
      },
      admission,
    );
  }

  start(): void {
    const { clock, log, cache, session, formatGate, eventLoopDelay, dependencies, suspicion } = this.#context;
    const { signal } = this.#stop;
    const loop = (name: string, step: () => Promise<void>, pauseMs?: number): void => {
      void runLoop(name, step, { clock, log, signal }, pauseMs);
    };
    loop('event loop delay', () => eventLoopDelay.step(signal));
    loop('watch', () => cache.step(), 300);
    loop('record format', () => formatGate.step(signal), 300);
    loop('session', () => session.step(signal), 300);
    loop('leader', async () => {
      await this.#leaderWake.wait(LEADER_PAUSE_MS);
      await this.#leader.step();
    });
    loop('shard acquisition', async () => {
      await this.#ownerWake.wait(OWNER_PAUSE_MS);
      await this.#acquisition.step();
    });
    loop('lease relay', async () => {
      await clock.sleep(LEASE_RELAY_MS, signal);
      await this.#leaseRelay.step();
    });
    loop('lease extension', () => this.#leaseExtension.step(signal));
    loop('machine types', () => this.#refreshTypes(signal), 2_000);
    loop('cloud list', () => this.#listCloud(signal), 3_000);
    loop('dependencies', () => dependencies.step());
    loop('dependents of cancelled jobs', () => this.#dependentCancellation.step(() => this.#leader.isLeader));
    loop('admission', () => this.#epochWriter.step(signal));
    if (suspicion) loop('suspicion', () => suspicion.step(signal));
    loop('heartbeat', async () => {
      await clock.sleep(PROGRESS_MS, signal);
      this.#sendHeartbeat();
    });
  }

  stop(): void {
    this.#stop.abort();
    for (const owner of this.owners.values()) owner.stop('controller stops');
  }

  get types(): readonly MachineType[] {
    return this.#machineTypes.all;
  }

  /** Whether it knows enough to answer anybody. */
  get isInitialized(): boolean {
    return this.#context.cache.loaded && this.types.length > 0;
  }

  get owners(): ReadonlyMap<number, ShardOwner> {
    return this.#acquisition.owners;
  }

  get #isViewFresh(): boolean {
    return this.environment.clock.now() - this.#context.cache.freshAt < FRESH_FOR_MS;
  }

  /**
   * Whether users are well served here. A node that alone lost the state service sends them elsewhere; when all have
   * lost it, going elsewhere would not help. One that hears nothing of the others either is likely cut off itself.
   */
  get isReady(): boolean {
    if (!this.isInitialized) return false;
    if (this.#isViewFresh || this.settings.platform.others.length === 0) return true;
    if (this.environment.clock.now() - this.#reachability.heardAt > PEER_MEMORY_MS) return false;
    // In an outage all lose it, though not all notice at the same moment: each removal by the load balancer makes the
    // next return slower, so only peers that go on reaching it for longer count.
    return this.#reachability.freshPeerAt < this.#context.cache.freshAt + FRESH_FOR_MS + NOTICE_SPREAD_MS;
  }

  /** How this process keeps up with its work. */
  get eventLoopDelay(): EventLoopDelay {
    return this.#context.eventLoopDelay;
  }

  /** Adds what is known of a live job's progress, for display. */
  withProgress(status: JobStatus): JobStatus {
    return this.#progress.withProgress(status);
  }

  /**
   * Cancels a job unless it is done, and what needs it as far as that can be written at once; the leader does the rest.
   */
  async cancel(id: string): Promise<JobStatus | undefined> {
    const { clock, log, dependencies } = this.#context;
    const status = await this.jobs.cancel(id, this.#progress.get(id)?.done ?? 0);
    if (status?.state !== 'cancelled' || dependencies.graph.pendingCancellations.size === 0) return status;
    const until = clock.now() + CANCEL_DEPENDENTS_MS;
    await this.#dependentCancellation.cancelPending(until).catch((error: unknown) => {
      log.info({ job: id, err: describeError(error) }, 'dependents are still to be cancelled');
    });
    return status;
  }

  onHeartbeat(heartbeat: WorkerHeartbeat): HeartbeatResponse | Promise<HeartbeatResponse> {
    if (!this.#context.cache.loaded) return { kind: 'undecided' };
    for (const owner of this.owners.values()) {
      if (owner.stopped || !owner.ownsMachine(heartbeat.machine)) continue;
      return owner.onHeartbeat(heartbeat);
    }
    return this.#answerForOtherOwner(heartbeat);
  }

  #answerForOtherOwner(heartbeat: WorkerHeartbeat): HeartbeatResponse {
    const { cache, controllerId } = this.#context;
    const record = read.machine(cache.get(KEY.machine(heartbeat.machine))?.value);
    // The leader takes it in when the cloud lists it; until then nobody answers for it.
    if (!record) return { kind: 'undecided' };
    const lease = read.lease(cache.get(KEY.lease(record.block))?.value);
    if (!lease || lease.owner === controllerId) return { kind: 'undecided' };
    this.#reachability.recordRedirect(heartbeat.machine, record.block);
    const relayed = record.up ? this.#leaseRelay.respond(heartbeat, record.block) : undefined;
    if (relayed) return { kind: 'accepted', ...relayed };
    // Sent back to an owner that is cut off, a worker would spend its lease waiting for it.
    const owner = this.#reachability.reaches(lease.owner, record.block) ? lease.owner : undefined;
    return { kind: 'redirect', owner };
  }

  onPeerFrame(bytes: Uint8Array): void {
    const message = readPeerMessage(bytes);
    if (!message) {
      this.environment.log.info('unreadable peer message');
      return;
    }
    this.#onPeer(message);
  }

  #onPeer(message: PeerMessage): void {
    switch (message.kind) {
      case 'change notification':
        this.#context.cache.offer(message.event);
        return;
      case 'lease extension request':
        this.#leaseExtension.onRequest(message.request);
        return;
      case 'lease extension grant':
        this.#leaseExtension.onGrant(message.grant);
        return;
      case 'heartbeat':
        if (this.#context.suspicion?.accepts(message.heartbeat) === false) return;
        this.#reachability.onHeartbeat(message.heartbeat);
        this.#progress.update(message.heartbeat.jobs);
    }
  }

  /** What this controller and its peers hold of each other; undefined with suspicion off. */
  peersReport(): PeersReport | undefined {
    return this.#context.suspicion?.report();
  }

  #onChange(event: ChangeEvent): void {
    for (const owner of this.owners.values()) owner.onChange(event);
    const { key } = event;
    if (key.startsWith(PREFIX.relay)) return;
    if (key.startsWith(PREFIX.job)) {
      if (event.deleted) this.#progress.delete(key.slice(PREFIX.job.length));
    } else if (!isQuietKey(key)) {
      if (isTypesKey(key)) this.#machineTypes.onRecordChanged();
      this.#leaderWake.wake();
      this.#ownerWake.wake();
    }
  }

  async #refreshTypes(signal: AbortSignal): Promise<void> {
    const onRefreshed = (): void => {
      this.#ownerWake.wake();
    };
    await this.#machineTypes.refresh(this.#leader.isLeader, onRefreshed, signal);
  }

  async #listCloud(signal: AbortSignal): Promise<void> {
    await this.#cloudInventory.step(signal, () => this.#leader.isLeader || this.owners.size > 0);
    for (const m of this.#cloudInventory.machines()) {
      if (m.state === 'failed') for (const owner of this.owners.values()) owner.onMachineFailed(m.id);
    }
  }

  #sendHeartbeat(): void {
    const owners = [...this.owners.values()];
    const jobs = owners.flatMap((owner) => (owner.entitled ? owner.progress() : []));
    this.#progress.update(jobs);
    const unreachable = owners.filter((owner) => {
      const { machines, unheard } = owner.workerReachability();
      return areMostUnreachable(machines, unheard);
    });
    const { suspicion, controllerId } = this.#context;
    const state = {
      from: controllerId,
      isViewFresh: this.#isViewFresh,
      unreachableShards: unreachable.map((owner) => owner.shard),
      redirected: this.#reachability.redirected(),
      ...(suspicion && { view: suspicion.view() }),
    };
    for (const message of heartbeatMessages(state, jobs)) {
      this.environment.broadcast(writePeerMessage(message));
    }
  }
}
