/** @file Creates the services that the components of a controller share. */
import { AdmissionControl } from '../admission/admission-control';
import { readAdmissionOptions, type AdmissionOptions } from '../admission/options';
import type { Clock } from '../base/clock';
import { EventLoopDelay } from '../base/event-loop-delay';
import type { Log } from '../base/log';
import type { Settings } from '../base/settings';
import { maxChangesPerTransaction, maxValueBytes } from '../base/state-limits';
import { OPEN_ADMISSION } from '../bookkeeping/admission-policy';
import { withoutDependencies } from '../bookkeeping/dependency-records';
import { DependencyTracker } from '../bookkeeping/dependency-tracker';
import { DependentCancellation } from '../bookkeeping/dependent-cancellation';
import { EndedJobs } from '../bookkeeping/ended-jobs';
import { FinalStates } from '../bookkeeping/final-states';
import { FormatGate } from '../bookkeeping/format-gate';
import { JobGraph } from '../bookkeeping/job-graph';
import { JobStore, type JobStoreContext } from '../bookkeeping/job-store';
import { RecordMemory } from '../bookkeeping/record-memory';
import { LIVE_PREFIX } from '../bookkeeping/records';
import { Session } from '../bookkeeping/session';
import { WatchCache } from '../bookkeeping/watch-cache';
import { Cloud } from '../protocol/cloud';
import { writePeerMessage } from '../protocol/peers';
import { HttpKeyValueStore } from '../protocol/http-key-value-store';
import type { KeyValueStore } from '../protocol/key-value-store';
import { readSuspicionOptions } from '../suspicion/options';
import { Suspicion } from '../suspicion/suspicion';
import { RateLimit } from '../transport/rate-limit';
import type { Environment } from './environment';
import { MachineTypes } from './machine-types';
import type { ControllerContext } from './controller-context';
import { ChainUrgency } from './scheduling/chain-urgency';

const STORE_TIMEOUT_MS = 1_500;
const CLOUD_TIMEOUT_MS = 5_000;
/** Fraction of the store's rate limits for one controller: more than an equal share, as peers use less than theirs. */
const STORE_RATE_FRACTION = 0.6;
/** Fraction of the store's request limit for checks if a deferred job was accepted; a check takes up to two requests. */
const LOOK_UP_RATE_FRACTION = 0.05;
const CLOUD_RATE_FRACTION = 0.7;
const CLOUD_BURST = 2;
/** Number of watch requests that fit into one shard lease if each waits its full time, because nothing changes. */
const WATCHES_PER_LEASE = 5;

/** The services of one controller: the context that its components share, and services for the controller only. */
export interface ControllerServices {
  readonly context: ControllerContext;
  readonly machineTypes: MachineTypes;
  readonly dependentCancellation: DependentCancellation;
  /** Undefined if admission control is off. */
  readonly admission: AdmissionOptions | undefined;
}

function createKeyValueStore(settings: Settings, { clock, http }: Environment): KeyValueStore {
  const { deployment, external } = settings.platform;
  const { rps, write_rps } = deployment.state;
  return new HttpKeyValueStore({
    http,
    address: external.state,
    requests: new RateLimit(clock, rps * STORE_RATE_FRACTION, rps * STORE_RATE_FRACTION),
    writes: new RateLimit(clock, write_rps * STORE_RATE_FRACTION, write_rps * STORE_RATE_FRACTION),
    timeoutMs: STORE_TIMEOUT_MS,
  });
}

function createCloud({ platform, throttling }: Settings, { clock, http }: Environment): Cloud {
  const rate = (platform.deployment.cloud.rps * CLOUD_RATE_FRACTION) / Math.sqrt(throttling.shards);
  return new Cloud(http, platform.external.cloud, new RateLimit(clock, rate, CLOUD_BURST), CLOUD_TIMEOUT_MS);
}

function createWatchCache(
  { shardLeaseMs, throttling }: Settings,
  store: KeyValueStore,
  clock: Clock,
): WatchCache {
  return new WatchCache({
    store,
    prefix: LIVE_PREFIX,
    clock,
    waitMs: shardLeaseMs / WATCHES_PER_LEASE,
    minWatchIntervalMs: throttling.watchPaceMs,
    valueToKeep: withoutDependencies,
  });
}

function createSession(
  { platform, shardLeaseMs }: Settings,
  { clock, log }: Environment,
  store: KeyValueStore,
  cache: WatchCache,
): Session {
  return new Session({
    controllerId: platform.node,
    ttlMs: shardLeaseMs,
    store,
    cache,
    clock,
    log,
  });
}

function createFormatGate(
  { platform }: Settings,
  { clock, log }: Environment,
  store: KeyValueStore,
  cache: WatchCache,
): FormatGate {
  const controllers = [platform.node, ...platform.others.map((other) => other.node)];
  return new FormatGate({
    controllerId: platform.node,
    controllers,
    store,
    cache,
    clock,
    log,
  });
}

/** Returns undefined if suspicion is off. */
function createSuspicion(
  settings: Settings,
  { clock, log }: Environment,
  cache: WatchCache,
): Suspicion | undefined {
  const options = readSuspicionOptions(settings);
  if (!options) return undefined;
  const { node, others } = settings.platform;
  return new Suspicion(
    { controllerId: node, peers: others.map((other) => other.node), clock, cache, log },
    options,
  );
}

function createJobTracking(
  { platform }: Settings,
  cache: WatchCache,
  finals: FinalStates,
  clock: Clock,
): { endedJobs: EndedJobs; dependencies: DependencyTracker } {
  const graph = new JobGraph();
  const neverStarted = (id: string): boolean => graph.isCancellationPending(id);
  // Created before the tracker, so that `endedJobs` looks up an ended job before the tracker removes it from the graph.
  const endedJobs = new EndedJobs(cache, clock, platform.deployment.workers.cancel_s, neverStarted);
  return { endedJobs, dependencies: new DependencyTracker(cache, finals, clock, graph) };
}

/** The services that the job store and admission control use. */
interface JobServices extends Omit<JobStoreContext, 'limits' | 'admission'> {
  readonly log: Log;
}

function createJobStore(
  { platform }: Settings,
  admission: AdmissionOptions | undefined,
  { log, ...services }: JobServices,
): JobStore {
  const { state } = platform.deployment;
  const lookUpLimit = new RateLimit(
    services.clock,
    state.rps * LOOK_UP_RATE_FRACTION,
    state.rps * LOOK_UP_RATE_FRACTION,
  );
  return new JobStore({
    ...services,
    limits: { valueBytes: maxValueBytes(state), changes: maxChangesPerTransaction(state) },
    admission: admission ? new AdmissionControl({ ...services, log, lookUpLimit }) : OPEN_ADMISSION,
  });
}

/** The watch cache, and the services that write records. */
interface RecordServices {
  readonly store: KeyValueStore;
  readonly cache: WatchCache;
  readonly session: Session;
  readonly memory: RecordMemory;
  readonly formatGate: FormatGate;
  readonly publish: ControllerContext['publish'];
}

function createRecordServices(
  settings: Settings,
  environment: Environment,
  store: KeyValueStore,
): RecordServices {
  const cache = createWatchCache(settings, store, environment.clock);
  return {
    store,
    cache,
    memory: new RecordMemory(cache, environment.heapLimitBytes),
    session: createSession(settings, environment, store, cache),
    formatGate: createFormatGate(settings, environment, store, cache),
    publish: (event) => {
      cache.applyNotification(event);
      environment.broadcast(writePeerMessage({ kind: 'change notification', event }));
    },
  };
}

/** Creates the services; `store`, if given, replaces the HTTP client of the key-value store. */
export function createControllerServices(
  settings: Settings,
  environment: Environment,
  store: KeyValueStore = createKeyValueStore(settings, environment),
): ControllerServices {
  const { clock, log, refusedMessages, workers, random } = environment;
  const records = createRecordServices(settings, environment, store);
  const { cache, memory, formatGate, publish } = records;
  const finals = new FinalStates(store, formatGate);
  const { endedJobs, dependencies } = createJobTracking(settings, cache, finals, clock);
  const admission = readAdmissionOptions(settings);
  const jobServices = { store, cache, clock, dependencies, publish, finals, formatGate, memory, log };
  const jobs = createJobStore(settings, admission, jobServices);
  const cloud = createCloud(settings, environment);
  const machineTypes = new MachineTypes({ settings, clock, cache, store, formatGate, cloud });
  const context: ControllerContext = {
    ...records,
    controllerId: settings.platform.node,
    settings,
    clock,
    random,
    log,
    refusedMessages,
    eventLoopDelay: new EventLoopDelay(clock),
    jobs,
    endedJobs,
    dependencies,
    chainUrgency: new ChainUrgency(dependencies.graph, cache),
    cloud,
    workers,
    suspicion: createSuspicion(settings, environment, cache),
    types: () => machineTypes.all,
  };
  const changes = maxChangesPerTransaction(settings.platform.deployment.state);
  const dependentCancellation = new DependentCancellation({ ...jobServices, jobs, changes });
  return { context, machineTypes, dependentCancellation, admission };
}
