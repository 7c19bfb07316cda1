/** @file Puts together the services that the parts of a controller node share. */
import { AdmissionControl } from '../admission/admission-control';
import { readAdmissionOptions, type AdmissionOptions } from '../admission/options';
import type { Clock } from '../base/clock';
import { EventLoopDelay } from '../base/event-loop-delay';
import type { Log } from '../base/log';
import type { Settings } from '../base/settings';
import { changesAtOnce, valueBytes } from '../base/state-limits';
import { OPEN_ADMISSION } from '../bookkeeping/admission-policy';
import { DependencyTracker } from '../bookkeeping/dependency-tracker';
import { DependentCancellation } from '../bookkeeping/dependent-cancellation';
import { EndedJobs } from '../bookkeeping/ended-jobs';
import { FinalStates } from '../bookkeeping/final-states';
import { FormatGate } from '../bookkeeping/format-gate';
import { JobStore, type JobStoreContext } from '../bookkeeping/job-store';
import { LIVE } from '../bookkeeping/records';
import { Session } from '../bookkeeping/session';
import { WatchCache } from '../bookkeeping/watch-cache';
import { Cloud } from '../protocol/cloud';
import { writePeerMessage } from '../protocol/peers';
import { HttpKeyValueStore, type ChangeEvent, type KeyValueStore } from '../protocol/key-value-store';
import { readSuspicionOptions } from '../suspicion/options';
import { Suspicion } from '../suspicion/suspicion';
import { RateLimit } from '../transport/rate-limit';
import type { Environment } from './environment';
import { MachineTypes } from './machine-types';
import type { ControllerContext } from './controller-context';
import { ChainUrgency } from './scheduling/chain-urgency';

const STATE_TIMEOUT_MS = 1_500;
const CLOUD_TIMEOUT_MS = 5_000;
/** This node's part of the limits that all nodes share: one may take more than its share, for others take less. */
const RATE_PART = 0.6;
/** Part of the limit on requests for questions whether a deferred job was accepted; each takes up to two requests. */
const LOOK_UP_PART = 0.05;
const CLOUD_RATE_PART = 0.7;
const CLOUD_BURST = 2;
const WATCHES_PER_LEASE = 5;

/** The services of one node: its context, and what only the node itself uses. */
export interface ControllerServices {
  readonly context: ControllerContext;
  readonly machineTypes: MachineTypes;
  readonly dependentCancellation: DependentCancellation;
  /** Undefined: admission is off here. */
  readonly admission: AdmissionOptions | undefined;
}

function createStateStore(settings: Settings, { clock, http }: Environment): KeyValueStore {
  const { deployment, external } = settings.platform;
  const { rps, write_rps } = deployment.state;
  return new HttpKeyValueStore(
    http,
    external.state,
    new RateLimit(clock, rps * RATE_PART, rps * RATE_PART),
    new RateLimit(clock, write_rps * RATE_PART, write_rps * RATE_PART),
    STATE_TIMEOUT_MS,
  );
}

function createCloud({ platform, throttling }: Settings, { clock, http }: Environment): Cloud {
  const rate = (platform.deployment.cloud.rps * CLOUD_RATE_PART) / Math.sqrt(throttling.shards);
  return new Cloud(http, platform.external.cloud, new RateLimit(clock, rate, CLOUD_BURST), CLOUD_TIMEOUT_MS);
}

function createWatchCache(
  { shardLeaseMs, throttling }: Settings,
  store: KeyValueStore,
  clock: Clock,
): WatchCache {
  return new WatchCache({
    store,
    prefix: LIVE,
    clock,
    waitMs: shardLeaseMs / WATCHES_PER_LEASE,
    minWatchIntervalMs: throttling.watchPaceMs,
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

/** Undefined: suspicion is off here. */
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
): { ended: EndedJobs; dependencies: DependencyTracker } {
  // It hears of an end before the graph forgets the job.
  const ended = new EndedJobs(cache, clock, platform.deployment.workers.cancel_s, (id) =>
    dependencies.graph.isCancellationPending(id),
  );
  const dependencies = new DependencyTracker(cache, finals, clock);
  return { ended, dependencies };
}

/** What jobs are kept in, and what they depend on. */
interface JobServices extends Omit<JobStoreContext, 'limits' | 'admission'> {
  readonly log: Log;
}

function createJobStore(
  { platform }: Settings,
  admission: AdmissionOptions | undefined,
  { log, ...services }: JobServices,
): JobStore {
  const { state } = platform.deployment;
  const lookUps = new RateLimit(services.clock, state.rps * LOOK_UP_PART, state.rps * LOOK_UP_PART);
  return new JobStore({
    ...services,
    limits: { valueBytes: valueBytes(state), changes: changesAtOnce(state) },
    admission: admission ? new AdmissionControl({ ...services, log, lookUps }) : OPEN_ADMISSION,
  });
}

/** Puts the services together; `store` stands in for the state service's client where one is given. */
export function createControllerServices(
  settings: Settings,
  environment: Environment,
  store: KeyValueStore = createStateStore(settings, environment),
): ControllerServices {
  const { clock, log, workers, random } = environment;
  const { platform } = settings;
  const cache = createWatchCache(settings, store, clock);
  const session = createSession(settings, environment, store, cache);
  const publish = (event: ChangeEvent): void => {
    cache.offer(event);
    environment.broadcast(writePeerMessage({ kind: 'change notification', event }));
  };
  const formatGate = createFormatGate(settings, environment, store, cache);
  const finals = new FinalStates(store, formatGate);
  const { ended, dependencies } = createJobTracking(settings, cache, finals, clock);
  const records = { store, cache, clock, dependencies, publish };
  const admission = readAdmissionOptions(settings);
  const jobs = createJobStore(settings, admission, { ...records, finals, formatGate, log });
  const cloud = createCloud(settings, environment);
  const machineTypes = new MachineTypes({ settings, clock, cache, store, formatGate, cloud });
  const context: ControllerContext = {
    controllerId: platform.node,
    settings,
    clock,
    random,
    log,
    eventLoopDelay: new EventLoopDelay(clock),
    store,
    cache,
    formatGate,
    session,
    jobs,
    endedJobs: ended,
    dependencies,
    chainUrgency: new ChainUrgency(dependencies.graph, cache),
    cloud,
    workers,
    suspicion: createSuspicion(settings, environment, cache),
    types: () => machineTypes.all,
    publish,
  };
  const dependentCancellation = new DependentCancellation({
    ...records,
    jobs,
    changes: changesAtOnce(platform.deployment.state),
  });
  return { context, machineTypes, dependentCancellation, admission };
}
