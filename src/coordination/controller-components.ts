/** @file Wires the components of a controller together. */
import { EpochWriter } from '../admission/epoch-writer';
import { WakeSignal } from '../base/clock';
import type { Settings } from '../base/settings';
import { maxChangesPerTransaction } from '../base/state-limits';
import type { KeyValueStore } from '../protocol/key-value-store';
import { writePeerMessage, type PeerMessage } from '../protocol/peers';
import { FixedTimeoutDetector } from '../suspicion/peer-liveness';
import { PeerReachability } from '../suspicion/peer-reachability';
import { CloudInventory } from './autoscaling/cloud-inventory';
import { createControllerServices, type ControllerServices } from './controller-services';
import type { Environment } from './environment';
import { HeartbeatRouter } from './heartbeat-router';
import { JobProgressTable } from './job-progress';
import { Leader } from './ownership/leader';
import { LeaseExtension } from './ownership/lease-extension';
import { LeaseRelay } from './ownership/lease-relay';
import { ShardAcquisition } from './ownership/shard-acquisition';
import { PeerMessaging } from './peer-messaging';
import { Readiness } from './readiness';

const MS_PER_S = 1000;

/** The components of a controller for shard ownership, leadership and communication with its peers. */
interface CoordinationComponents {
  readonly progress: JobProgressTable;
  readonly reachability: PeerReachability;
  readonly cloudInventory: CloudInventory;
  readonly leaseExtension: LeaseExtension;
  readonly leader: Leader;
  readonly acquisition: ShardAcquisition;
  readonly leaseRelay: LeaseRelay;
  /** Wakes the leader's loop before its interval ends. */
  readonly leaderWake: WakeSignal;
  /** Wakes the shard acquisition loop before its interval ends. */
  readonly acquisitionWake: WakeSignal;
}

/** The components of a controller. */
export interface ControllerComponents extends ControllerServices, CoordinationComponents {
  readonly epochWriter: EpochWriter;
  readonly readiness: Readiness;
  readonly heartbeatRouter: HeartbeatRouter;
  readonly peerMessaging: PeerMessaging;
}

/** Creates the components; `store`, if given, replaces the HTTP client of the key-value store. */
export function createControllerComponents(
  settings: Settings,
  environment: Environment,
  store?: KeyValueStore,
): ControllerComponents {
  const services = createControllerServices(settings, environment, store);
  const coordination = createCoordination(services, environment);
  const components = { ...services, ...coordination };
  const readiness = new Readiness(components);
  return {
    ...components,
    epochWriter: createEpochWriter(services, coordination),
    readiness,
    heartbeatRouter: new HeartbeatRouter(components),
    peerMessaging: new PeerMessaging({ ...components, readiness }, (bytes) => {
      environment.broadcast(bytes);
    }),
  };
}

function createCoordination(
  { context }: ControllerServices,
  environment: Environment,
): CoordinationComponents {
  const { clock, cache, cloud, settings, suspicion } = context;
  const reachability = new PeerReachability(clock, suspicion ?? new FixedTimeoutDetector(clock));
  const listLagMs = settings.platform.deployment.cloud.list_lag_s * MS_PER_S;
  const cloudInventory = new CloudInventory(cloud, clock, listLagMs);
  const broadcast = (message: PeerMessage): void => {
    environment.broadcast(writePeerMessage(message));
  };
  const leaseExtension = new LeaseExtension(context, broadcast, environment.startedAt);
  return {
    progress: new JobProgressTable(cache),
    reachability,
    cloudInventory,
    leaseExtension,
    leader: new Leader(context, cloudInventory, () => !leaseExtension.mayAcquireShards),
    acquisition: new ShardAcquisition(context, reachability, leaseExtension),
    leaseRelay: new LeaseRelay(context, reachability),
    leaderWake: new WakeSignal(clock),
    acquisitionWake: new WakeSignal(clock),
  };
}

function createEpochWriter(
  { context, admission }: ControllerServices,
  { progress, leader }: CoordinationComponents,
): EpochWriter {
  const { dependencies, settings } = context;
  const { state, teams } = settings.platform.deployment;
  return new EpochWriter(
    {
      ...context,
      maxChanges: maxChangesPerTransaction(state),
      progressOf: (id) => progress.get(id),
      waitsForDependencies: (id) => dependencies.graph.has(id) && !dependencies.isReady(id),
      teamLimitCpus: (team) => teams.find(({ name }) => name === team)?.cpus_max ?? 0,
      leaderCondition: () => leader.leaderCondition(),
    },
    admission,
  );
}
