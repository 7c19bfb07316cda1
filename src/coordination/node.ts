import { AdmissionControl } from '../admission/admission-control';
import { EpochWriter } from '../admission/epoch-writer';
import { readAdmissionOptions } from '../admission/options';
import { Wake, type Clock } from '../base/clock';
import { EventLoopDelay } from '../base/event-loop-delay';
import type { Log } from '../base/log';
import { describe, runLoop } from '../base/loop';
import type { Random } from '../base/random';
import type { Settings } from '../base/settings';
import { changesAtOnce, valueBytes } from '../base/state-limits';
import { blockCount } from '../bookkeeping/block-count';
import { OPEN_ADMISSION } from '../bookkeeping/admission-policy';
import { isCompletionKey } from '../bookkeeping/completion-records';
import { FormatGate } from '../bookkeeping/format-gate';
import { DependencyTracker } from '../bookkeeping/dependency-tracker';
import { DependentCancellation } from '../bookkeeping/dependent-cancellation';
import { EndedJobs } from '../bookkeeping/ended-jobs';
import { FinalStates } from '../bookkeeping/final-states';
import { JobStore } from '../bookkeeping/job-store';
import { KEY, LIVE, PREFIX, read, type BlockRecord } from '../bookkeeping/records';
import { isTypesKey, readTypes, storeTypes } from '../bookkeeping/type-records';
import { Session } from '../bookkeeping/session';
import { WatchCache } from '../bookkeeping/watch-cache';
import { Cloud } from '../protocol/cloud';
import type { JobStatus, MachineType, Report } from '../protocol/model';
import { readPeerMessage, writePeerMessage, type JobProgress, type PeerMessage } from '../protocol/peers';
import { HttpStateStore, type Event, type StateStore } from '../protocol/state';
import type { HttpCaller } from '../transport/http-client';
import { RateLimit } from '../transport/rate-limit';
import { BlockOwner, type OwnAnswer } from './block-owner';
import { ChainUrgency } from './chain-urgency';
import { CloudView } from './cloud-view';
import type { NodeContext } from './node-context';
import { LeaseExtension } from './lease-extension';
import { LeaseRelay } from './lease-relay';
import { Leader } from './leader';
import { areMostUnreachable, PeerReachability } from './peer-reachability';
import { progressMessages } from './progress-messages';

/** Clock, randomness, log and connections that a node is given. */
export interface Environment {
  clock: Clock;
  /** Steady time at which this process began. */
  startedAt: number;
  random: Random;
  log: Log;
  /** For calls to state service and cloud. */
  http: HttpCaller;
  /** For calls to workers. */
  workers: HttpCaller;
  /** Sends to all other nodes; best effort. */
  broadcast(bytes: Uint8Array): void;
}

const STATE_TIMEOUT_MS = 1_500;
const CLOUD_TIMEOUT_MS = 5_000;
/** This node's part of the limits that all nodes share: one may take more than its share, for others take less. */
const RATE_PART = 0.6;
/** Part of the limit on requests for questions whether a deferred job was accepted; each takes up to two requests. */
const LOOK_UP_PART = 0.05;
const CLOUD_RATE_PART = 0.7;
const WATCHES_PER_LEASE = 5;
const LEADER_PAUSE_MS = 1_000;
const OWNER_PAUSE_MS = 500;
const PROGRESS_MS = 1_000;
const LEASE_RELAY_MS = 250;
const TYPES_REFRESH_MS = 60_000;
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

/** Records whose changes concern neither the leader nor the taking of blocks. */
function isQuietKey(key: string): boolean {
  return (
    isCompletionKey(key) || key === KEY.admission || QUIET_PREFIXES.some((prefix) => key.startsWith(prefix))
  );
}

export type ReportAnswer = OwnAnswer | { kind: 'elsewhere'; owner: string | undefined };

/** One controller: its copy of the records, its lease, and the blocks that it owns. */
export class Node {
  readonly jobs: JobStore;
  readonly #deps: NodeContext;
  readonly #cache: WatchCache;
  readonly #session: Session;
  readonly #leader: Leader;
  readonly #epochWriter: EpochWriter;
  readonly #cloudView: CloudView;
  readonly #leaseExtension: LeaseExtension;
  readonly #reachability: PeerReachability;
  readonly #leaseRelay: LeaseRelay;
  readonly #dependentCancellation: DependentCancellation;
  #taking = false;
  readonly #owners = new Map<number, BlockOwner>();
  readonly #progress = new Map<string, JobProgress>();
  readonly #leaderWake: Wake;
  readonly #ownerWake: Wake;
  readonly #stop = new AbortController();
  #types: readonly MachineType[] = [];
  #peersFreshAt = -Infinity;
  #peersHeardAt = -Infinity;

  constructor(
    readonly settings: Settings,
    private readonly environment: Environment,
    store?: StateStore,
  ) {
    const { clock, log, http, workers, random } = environment;
    const { platform } = settings;
    const { state, cloud } = platform.deployment;
    const stateStore =
      store ??
      new HttpStateStore(
        http,
        platform.external.state,
        new RateLimit(clock, state.rps * RATE_PART, state.rps * RATE_PART),
        new RateLimit(clock, state.write_rps * RATE_PART, state.write_rps * RATE_PART),
        STATE_TIMEOUT_MS,
      );
    const cloudRate = new RateLimit(
      clock,
      (cloud.rps * CLOUD_RATE_PART) / Math.sqrt(settings.pace.blocks),
      2,
    );
    const cloudApi = new Cloud(http, platform.external.cloud, cloudRate, CLOUD_TIMEOUT_MS);
    const holdMs = settings.blockLeaseMs / WATCHES_PER_LEASE;
    this.#cache = new WatchCache(stateStore, LIVE, clock, holdMs, settings.pace.watchPaceMs);
    this.#session = new Session(platform.node, settings.blockLeaseMs, stateStore, this.#cache, clock, log);
    const announce = (event: Event): void => {
      this.#cache.offer(event);
      environment.broadcast(writePeerMessage({ kind: 'nudge', event }));
    };
    const formatGate = new FormatGate({
      node: platform.node,
      controllers: [platform.node, ...platform.others.map((other) => other.node)],
      store: stateStore,
      cache: this.#cache,
      clock,
      log,
    });
    const finals = new FinalStates(stateStore, formatGate);
    // It hears of an end before the graph forgets the job.
    const ended = new EndedJobs(this.#cache, clock, platform.deployment.workers.cancel_s, (id) =>
      dependencies.graph.isCondemned(id),
    );
    const dependencies = new DependencyTracker(this.#cache, finals, clock);
    const records = { store: stateStore, cache: this.#cache, clock, dependencies, announce };
    const limits = { valueBytes: valueBytes(state), changes: changesAtOnce(state) };
    const admission = readAdmissionOptions(settings);
    const lookUps = new RateLimit(clock, state.rps * LOOK_UP_PART, state.rps * LOOK_UP_PART);
    this.jobs = new JobStore({
      ...records,
      finals,
      formatGate,
      limits,
      admission: admission ? new AdmissionControl({ ...records, log, lookUps }) : OPEN_ADMISSION,
    });
    this.#dependentCancellation = new DependentCancellation({
      ...records,
      jobs: this.jobs,
      changes: changesAtOnce(state),
    });
    dependencies.onReady(() => {
      for (const owner of this.#owners.values()) owner.jobsReady();
    });
    this.#deps = {
      formatGate,
      dependencies,
      chainUrgency: new ChainUrgency(dependencies.graph, this.#cache),
      ...{ node: platform.node, settings, clock, random, log, store: stateStore, cache: this.#cache },
      eventLoopDelay: new EventLoopDelay(clock),
      ended,
      ...{ session: this.#session, jobs: this.jobs, cloud: cloudApi, workers, announce },
      types: () => this.#types,
    };
    this.#cloudView = new CloudView(cloudApi, clock);
    this.#leader = new Leader(this.#deps, this.#cloudView, () => !this.#leaseExtension.mayAcquireBlocks);
    this.#epochWriter = new EpochWriter(
      {
        ...records,
        log,
        formatGate,
        changes: changesAtOnce(state),
        types: () => this.#types,
        progressOf: (id) => this.#progress.get(id),
        waitsForJobs: (id) => dependencies.graph.has(id) && !dependencies.isReady(id),
        teamLimit: (team) => platform.deployment.teams.find(({ name }) => name === team)?.cpus_max ?? 0,
        leadership: () => this.#leader.leadership(),
      },
      admission,
    );
    this.#leaseExtension = new LeaseExtension(
      this.#deps,
      (message) => {
        environment.broadcast(writePeerMessage(message));
      },
      () => this.#taking,
      environment.startedAt,
    );
    this.#reachability = new PeerReachability(clock);
    this.#leaseRelay = new LeaseRelay(this.#deps, this.#reachability);
    this.#leaderWake = new Wake(clock);
    this.#ownerWake = new Wake(clock);
    this.#cloudView.watch(this.#cache);
    this.#cache.onChange((event) => {
      this.#onChange(event);
    });
  }

  start(): void {
    const { clock, log } = this.environment;
    const { signal } = this.#stop;
    const loop = (name: string, step: () => Promise<void>, pauseMs?: number): void => {
      void runLoop(name, step, { clock, log, signal }, pauseMs);
    };
    loop('event loop delay', () => this.#deps.eventLoopDelay.step(signal));
    loop('watch', () => this.#cache.step(), 300);
    loop('record format', () => this.#deps.formatGate.step(signal), 300);
    loop('session', () => this.#session.step(signal), 300);
    loop('leader', async () => {
      await this.#leaderWake.wait(LEADER_PAUSE_MS);
      await this.#leader.step();
    });
    loop('blocks', async () => {
      await this.#ownerWake.wait(OWNER_PAUSE_MS);
      await this.#own();
    });
    loop('lease relay', async () => {
      await clock.sleep(LEASE_RELAY_MS, signal);
      await this.#leaseRelay.step();
    });
    loop('lease extension', () => this.#leaseExtension.step(signal));
    loop('machine types', () => this.#refreshTypes(signal), 2_000);
    loop('cloud list', () => this.#listCloud(signal), 3_000);
    loop('dependencies', () => this.#deps.dependencies.step());
    loop('dependents of cancelled jobs', () => this.#dependentCancellation.step(() => this.#leader.isLeader));
    loop('admission', () => this.#epochWriter.step(signal));
    loop('progress', async () => {
      await clock.sleep(PROGRESS_MS, signal);
      this.#shareProgress();
    });
  }

  stop(): void {
    this.#stop.abort();
    for (const owner of this.#owners.values()) owner.stop('the node stops');
  }

  get types(): readonly MachineType[] {
    return this.#types;
  }

  /** Whether it knows enough to answer anybody. */
  get informed(): boolean {
    return this.#cache.loaded && this.#types.length > 0;
  }

  get owners(): ReadonlyMap<number, BlockOwner> {
    return this.#owners;
  }

  get #fresh(): boolean {
    return this.environment.clock.now() - this.#cache.freshAt < FRESH_FOR_MS;
  }

  /**
   * Whether users are well served here. A node that alone lost the state service sends them elsewhere; when all have
   * lost it, going elsewhere would not help. One that hears nothing of the others either is likely cut off itself.
   */
  get ready(): boolean {
    if (!this.informed) return false;
    if (this.#fresh || this.settings.platform.others.length === 0) return true;
    if (this.environment.clock.now() - this.#peersHeardAt > PEER_MEMORY_MS) return false;
    // In an outage all lose it, though not all notice at the same moment: each removal by the load balancer makes the
    // next return slower, so only peers that go on reaching it for longer count.
    return this.#peersFreshAt < this.#cache.freshAt + FRESH_FOR_MS + NOTICE_SPREAD_MS;
  }

  /** How this process keeps up with its work. */
  get eventLoopDelay(): EventLoopDelay {
    return this.#deps.eventLoopDelay;
  }

  /** Adds what is known of a live job's progress, for display. */
  withProgress(status: JobStatus): JobStatus {
    const progress = this.#progress.get(status.id);
    if (!progress || status.state === 'done' || status.state === 'cancelled') return status;
    const state = progress.running > 0 ? 'running' : 'queued';
    return { ...status, state, done: progress.done, running: progress.running };
  }

  /**
   * Cancels a job unless it is done, and what needs it as far as that can be written at once; the leader does the rest.
   */
  async cancel(id: string): Promise<JobStatus | undefined> {
    const status = await this.jobs.cancel(id, this.#progress.get(id)?.done ?? 0);
    if (status?.state !== 'cancelled' || this.#deps.dependencies.graph.condemned.size === 0) return status;
    const until = this.environment.clock.now() + CANCEL_DEPENDENTS_MS;
    await this.#dependentCancellation.cancelCondemned(until).catch((error: unknown) => {
      this.environment.log.info({ job: id, err: describe(error) }, 'dependents are still to be cancelled');
    });
    return status;
  }

  report(report: Report): ReportAnswer | Promise<ReportAnswer> {
    if (!this.#cache.loaded) return { kind: 'undecided' };
    for (const owner of this.#owners.values()) {
      if (owner.stopped || !owner.has(report.machine)) continue;
      return owner.report(report);
    }
    const record = read.machine(this.#cache.get(KEY.machine(report.machine))?.value);
    // The leader takes it in when the cloud lists it; until then nobody answers for it.
    if (!record) return { kind: 'undecided' };
    const lease = read.lease(this.#cache.get(KEY.lease(record.block))?.value);
    if (!lease || lease.owner === this.#deps.node) return { kind: 'undecided' };
    this.#reachability.recordRedirect(report.machine, record.block);
    const relayed = record.up ? this.#leaseRelay.answer(report, record.block) : undefined;
    if (relayed) return { kind: 'accepted', ...relayed };
    // Sent back to an owner that is cut off, a worker would spend its lease waiting for it.
    const owner = this.#reachability.reaches(lease.owner, record.block) ? lease.owner : undefined;
    return { kind: 'elsewhere', owner };
  }

  onPeerFrame(bytes: Uint8Array): void {
    const message = readPeerMessage(bytes);
    if (!message) {
      this.environment.log.info('a message of a peer could not be read');
      return;
    }
    this.#onPeer(message);
  }

  #onPeer(message: PeerMessage): void {
    if (message.kind === 'nudge') {
      this.#cache.offer(message.event);
      return;
    }
    if (message.kind === 'ask') {
      this.#leaseExtension.onRequest(message.ask);
      return;
    }
    if (message.kind === 'promise') {
      this.#leaseExtension.onGrant(message.promise);
      return;
    }
    this.#peersHeardAt = this.environment.clock.now();
    if (message.progress.fresh) this.#peersFreshAt = this.environment.clock.now();
    this.#reachability.onProgress(message.progress);
    this.#takeProgress(message.progress.jobs);
  }

  #takeProgress(jobs: readonly JobProgress[]): void {
    for (const job of jobs) if (this.#cache.get(KEY.job(job.id))) this.#progress.set(job.id, job);
  }

  #onChange(event: Event): void {
    for (const owner of this.#owners.values()) owner.onChange(event);
    const { key } = event;
    if (key.startsWith(PREFIX.relay)) return;
    if (key.startsWith(PREFIX.job)) {
      if (event.deleted) this.#progress.delete(key.slice(PREFIX.job.length));
    } else if (!isQuietKey(key)) {
      if (isTypesKey(key)) this.#types = readTypes(this.#cache) ?? this.#types;
      this.#leaderWake.wake();
      this.#ownerWake.wake();
    }
  }

  /** Takes the leases of the blocks that the leader assigned to this node. */
  async #own(): Promise<void> {
    this.#taking = true;
    try {
      await this.#takeBlocks();
    } finally {
      this.#taking = false;
    }
  }

  async #takeBlocks(): Promise<void> {
    const { node, cache, session, store, settings, log } = this.#deps;
    for (const [block, owner] of this.#owners) {
      const lease = read.lease(cache.get(KEY.lease(block))?.value);
      if (session.lease === undefined || lease?.owner !== node) owner.stop('its lease is not held here');
      else if (read.block(cache.get(KEY.block(block))?.value)?.owner !== node) {
        owner.stop('the leader gave it to another node');
        // Once the lease is gone the other may take it: nothing leaves here any more.
        await store.txn([owner.leaseGuard()], [{ delete: KEY.lease(block) }], true);
      }
      if (!owner.stopped) await this.#handOver(owner);
      if (owner.stopped) this.#owners.delete(block);
    }
    if (!cache.loaded || !session.valid || session.lease === undefined || this.#types.length === 0) return;
    for (let block = 0; block < blockCount(cache, settings); block += 1) {
      if (this.#owners.has(block)) continue;
      const held = cache.get(KEY.lease(block));
      if (held && read.lease(held.value)?.owner === node) {
        // A taking of ours that got no answer was carried out after all, or we stopped while a raise of ours that got
        // none hid the lease's version. No tables are behind it: start over. Whoever the block is given to now would
        // wait for it as long as our session lives.
        await store.txn([{ key: held.key, version: held.version }], [{ delete: held.key }], true);
        continue;
      }
      const record = read.block(cache.get(KEY.block(block))?.value);
      if (record?.owner !== node || held || !this.#mayTake(record)) continue;
      const next = (read.baton(cache.get(KEY.baton)?.value)?.next ?? 0) + 1;
      const value = { owner: node, token: next };
      const result = await store.txn(
        [
          { key: KEY.lease(block), version: 0 },
          { key: KEY.block(block), version: cache.version(KEY.block(block)) },
          { key: KEY.baton, version: cache.version(KEY.baton) },
        ],
        [
          { put: KEY.baton, value: { next } },
          { put: KEY.lease(block), value, lease: session.lease },
          { put: KEY.block(block), value: { ...record, holder: node } },
        ],
        true,
      );
      if (!result.ok) continue;
      // The tables are built from a view that holds everything the owner before us could have acted on.
      while (cache.revision < result.revision && session.valid) await this.environment.clock.sleep(5);
      if (!session.valid || read.lease(cache.get(KEY.lease(block))?.value)?.owner !== node) {
        log.warn({ block }, 'a block was lost before it was taken');
        return;
      }
      const owner = new BlockOwner(block, record.teams, next, result.revision, result.revision, this.#deps);
      this.#owners.set(block, owner);
      owner.start();
    }
  }

  /**
   * Before its end this process may have promised another to take nothing from it. Not if this node itself held the
   * block last, or nobody ever did: then there is nobody to be promised anything, and workers' leases are running out.
   */
  #mayTake({ holder }: BlockRecord): boolean {
    const neverHeld = this.#cache.get(KEY.baton) === undefined;
    return this.#leaseExtension.mayAcquireBlocks || neverHeld || holder === this.#deps.node;
  }

  /** A node that is cut from most workers of its block gives it to one that they come to instead. */
  async #handOver(owner: BlockOwner): Promise<void> {
    const { machines, unheard } = owner.hearing();
    const successor = this.#reachability.successor(owner.block, machines, unheard);
    const { store, cache, log } = this.#deps;
    const key = KEY.block(owner.block);
    const record = read.block(cache.get(key)?.value);
    if (successor === undefined || !record) return;
    log.info({ block: owner.block, successor, machines, unheard }, 'another node hears the workers');
    owner.stop('its workers reach another node only');
    const value = { ...record, owner: successor };
    await store.txn(
      [owner.leaseGuard(), { key, version: cache.version(key) }],
      [{ put: key, value }, { delete: KEY.lease(owner.block) }],
      true,
    );
  }

  async #refreshTypes(signal: AbortSignal): Promise<void> {
    const { cache, store, clock, cloud, formatGate } = this.#deps;
    if (!cache.loaded) {
      await clock.sleep(20, signal);
      return;
    }
    // One node asks for all: what it learns is a record that also serves a node that starts while the cloud is down.
    if (this.#types.length === 0 || this.#leader.isLeader) {
      const types = await cloud.types();
      this.#types = types;
      const { state } = this.settings.platform.deployment;
      await storeTypes(types, cache, store, {
        valueBytes: valueBytes(state),
        changes: changesAtOnce(state),
        mayUseParts: formatGate.isOpen,
      });
      this.#ownerWake.wake();
    }
    await clock.sleep(TYPES_REFRESH_MS, signal);
  }

  async #listCloud(signal: AbortSignal): Promise<void> {
    await this.#cloudView.step(signal, () => this.#leader.isLeader || this.#owners.size > 0);
    for (const m of this.#cloudView.machines()) {
      if (m.state === 'failed') for (const owner of this.#owners.values()) owner.machineFailed(m.id);
    }
  }

  #shareProgress(): void {
    const jobs = [...this.#owners.values()].flatMap((owner) => (owner.entitled ? owner.progress() : []));
    this.#takeProgress(jobs);
    const unheard = [...this.#owners.values()].filter((owner) => {
      const { machines, unheard } = owner.hearing();
      return areMostUnreachable(machines, unheard);
    });
    const state = {
      from: this.#deps.node,
      fresh: this.#fresh,
      unheard: unheard.map((o) => o.block),
      turnedAway: this.#reachability.redirected(),
    };
    for (const message of progressMessages(state, jobs)) {
      this.environment.broadcast(writePeerMessage(message));
    }
  }
}
