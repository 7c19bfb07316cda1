/** @file The loops of a controller. */
import { runLoop } from '../base/loop';
import { HEARTBEAT_INTERVAL_MS } from '../suspicion/options';
import type { ControllerComponents } from './controller-components';

const LEADER_INTERVAL_MS = 1_000;
const ACQUISITION_INTERVAL_MS = 500;
const LEASE_RELAY_INTERVAL_MS = 250;
/** Pauses after a failed step: the key-value store is retried soon, the cloud less often. */
const RECORDS_RETRY_MS = 300;
const MACHINE_TYPES_RETRY_MS = 2_000;
const CLOUD_LIST_RETRY_MS = 3_000;

/** Starts a loop; the last argument is the pause after a failed step. */
type StartLoop = (name: string, step: () => Promise<void>, pauseAfterErrorMs?: number) => void;

/** Starts the loops, which run until the signal aborts. */
export function startControllerLoops(components: ControllerComponents, signal: AbortSignal): void {
  const { clock, log } = components.context;
  const start: StartLoop = (name, step, pauseAfterErrorMs) => {
    void runLoop(name, step, { clock, log, signal }, pauseAfterErrorMs);
  };
  startRecordLoops(components, signal, start);
  startOwnershipLoops(components, signal, start);
  startCloudLoops(components, signal, start);
  startJobLoops(components, signal, start);
  startPeerLoops(components, signal, start);
}

function startRecordLoops({ context }: ControllerComponents, signal: AbortSignal, start: StartLoop): void {
  const { eventLoopDelay, cache, formatGate, session } = context;
  start('event loop delay', () => eventLoopDelay.step(signal));
  start('watch', () => cache.step(), RECORDS_RETRY_MS);
  start('record format', () => formatGate.step(signal), RECORDS_RETRY_MS);
  start('session', () => session.step(signal), RECORDS_RETRY_MS);
}

function startOwnershipLoops(components: ControllerComponents, signal: AbortSignal, start: StartLoop): void {
  const { context, leader, leaderWake, acquisition, acquisitionWake } = components;
  const { leaseRelay, leaseExtension } = components;
  start('leader', async () => {
    await leaderWake.wait(LEADER_INTERVAL_MS);
    await leader.step();
  });
  start('shard acquisition', async () => {
    await acquisitionWake.wait(ACQUISITION_INTERVAL_MS);
    await acquisition.step();
  });
  start('lease relay', async () => {
    await context.clock.sleep(LEASE_RELAY_INTERVAL_MS, signal);
    await leaseRelay.step();
  });
  start('lease extension', () => leaseExtension.step(signal));
}

function startCloudLoops(components: ControllerComponents, signal: AbortSignal, start: StartLoop): void {
  start('machine types', () => refreshMachineTypes(components, signal), MACHINE_TYPES_RETRY_MS);
  start('cloud list', () => refreshCloudInventory(components, signal), CLOUD_LIST_RETRY_MS);
}

async function refreshMachineTypes(components: ControllerComponents, signal: AbortSignal): Promise<void> {
  const { machineTypes, leader, acquisitionWake } = components;
  const onRefreshed = (): void => {
    acquisitionWake.wake();
  };
  await machineTypes.refresh(leader.isLeader, onRefreshed, signal);
}

async function refreshCloudInventory(components: ControllerComponents, signal: AbortSignal): Promise<void> {
  const { cloudInventory, leader, acquisition } = components;
  await cloudInventory.step(signal, () => leader.isLeader || acquisition.owners.size > 0);
  for (const owner of acquisition.owners.values()) owner.onMachinesListed(cloudInventory);
}

function startJobLoops(components: ControllerComponents, signal: AbortSignal, start: StartLoop): void {
  const { context, dependentCancellation, leader, epochWriter } = components;
  start('dependencies', () => context.dependencies.step());
  start('dependents of cancelled jobs', () => dependentCancellation.step(() => leader.isLeader));
  start('admission', () => epochWriter.step(signal));
}

function startPeerLoops(
  { context, peerMessaging }: ControllerComponents,
  signal: AbortSignal,
  start: StartLoop,
): void {
  const { clock, suspicion } = context;
  if (suspicion) start('suspicion', () => suspicion.step(signal));
  start('heartbeat', async () => {
    await clock.sleep(HEARTBEAT_INTERVAL_MS, signal);
    peerMessaging.sendHeartbeat();
  });
}
