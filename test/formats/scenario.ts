/** @file A scenario in which controllers write every kind of record and peer message, of which it collects samples. */
import { isDeepStrictEqual } from 'node:util';
import { readPeerMessage } from '../../src/protocol/peers';
import { changeOf, controllerOf, SimulatedCluster } from './scenario-cluster';
import { keyPattern, type PeerSample, type RecordSample, type Samples } from './samples';
import { valueShape, wireShape } from './shape';

const STATE = '10.2.0.1:2379';
const MAX_SAMPLES_PER_VARIANT = 2;

/** Keeps a few distinct samples of each variant. */
class VariantSamples<T> {
  readonly #variants = new Map<string, T[]>();

  add(variant: string, sample: T): void {
    const samples = this.#variants.get(variant) ?? [];
    const isNew = samples.every((known) => !isDeepStrictEqual(known, sample));
    if (isNew && samples.length < MAX_SAMPLES_PER_VARIANT) samples.push(sample);
    this.#variants.set(variant, samples);
  }

  get all(): T[] {
    return [...this.#variants.keys()].sort().flatMap((variant) => this.#variants.get(variant) ?? []);
  }
}

/** The values that distinguish variants of records with the same fields: states and booleans. */
function variantFields(value: unknown): string {
  const fields = Object.entries((value ?? {}) as Record<string, unknown>);
  return JSON.stringify(fields.filter(([name, field]) => name === 'state' || typeof field === 'boolean'));
}

/**
 * Collects samples of the records and peer messages of deployments. It runs with the sources of either version; what
 * differs between them is in scenario-cluster.ts.
 */
class Collector {
  readonly #records = new VariantSamples<RecordSample>();
  readonly #peerMessages = new VariantSamples<PeerSample>();

  get samples(): Samples {
    return { records: this.#records.all, peerMessages: this.#peerMessages.all };
  }

  /** Creates a deployment and collects samples of its records and peer messages. */
  cluster(operator: Record<string, unknown> = {}): SimulatedCluster {
    const cluster = new SimulatedCluster({ operator });
    cluster.network.attach(STATE, async (request) => {
      const before = cluster.store.revision;
      const answer = await cluster.store.handle(request);
      if (cluster.store.revision > before) this.#collectRecords(cluster, before);
      return answer;
    });
    for (const process of cluster.controllers) {
      const controller = controllerOf(process);
      const receive = controller.onPeerFrame.bind(controller);
      controller.onPeerFrame = (bytes, sender) => {
        this.#collectPeerMessage(bytes);
        receive(bytes, sender);
      };
    }
    return cluster;
  }

  #collectRecords(cluster: SimulatedCluster, since: number): void {
    for (const [key, { data, stamp, hold }] of cluster.store.data) {
      if (stamp <= since) continue;
      const isHeldByLease = hold !== undefined;
      const variant = [keyPattern(key), isHeldByLease, variantFields(data), ...valueShape(data)].join(' ');
      this.#records.add(variant, { key, value: structuredClone(data), isHeldByLease });
    }
  }

  #collectPeerMessage(bytes: Uint8Array): void {
    const message = readPeerMessage(bytes);
    const change = changeOf(message);
    const kind = change ? `${keyPattern(change.key)} ${change.deleted}` : message?.kind;
    const base64 = Buffer.from(bytes).toString('base64');
    this.#peerMessages.add([kind, ...wireShape(bytes)].join(' '), { base64, message });
  }
}

/** Jobs of various kinds are accepted, partly done, done and cancelled; a controller is killed and restarted. */
async function runJobs(collector: Collector): Promise<void> {
  const cluster = collector.cluster();
  await cluster.submit('req-1', { pieces: 30, reckonS: 4 }, 4);
  await cluster.submit('req-2', {
    pieces: 2,
    urgency: 'prod',
    frames: ['m4'],
    yard: 'a',
    together: true,
    loaners: false,
    bookmarkS: 2,
    stashS: 1,
    dueS: 400,
    cpus: 0.5,
    sizeGb: 1.5,
  });
  await cluster.submit('req-4', { pieces: 60, cpus: 2 }, 3);
  await cluster.submit('req-3', { pieces: 40, crew: 'red', apart: true, urgency: 'best_effort' }, 9);
  await cluster.clock.advance(14_000);
  await cluster.cancel('req-3');
  await cluster.untilJobState('req-1', 'done');
  await cluster.untilJobState('req-2', 'done');
  await cluster.untilJobState('req-4', 'done');
  // The controllers discover a machine that has no record, and record it.
  cluster.addWorker('b');
  await cluster.clock.advance(10_000);
  const owner = await cluster.untilOwned();
  cluster.kill(owner);
  await cluster.clock.advance(12_000);
  cluster.restart(owner);
  await cluster.clock.advance(5_000);
  cluster.assertInvariants();
}

/** Some machines and a controller are partitioned from the owner; that controller relays the machines' leases. */
async function runPartition(collector: Collector): Promise<void> {
  const cluster = collector.cluster();
  await cluster.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length >= 16);
  const { owner } = cluster;
  const name = `node-${owner}`;
  const relay = `node-${(owner + 1) % 3}`;
  const address = cluster.controllers[owner]?.address;
  const partitionedMachines = [
    ...new Set(cluster.runningTasks.map((task) => cluster.machineOf(task) ?? '')),
  ].slice(0, 2);
  const partitionedAddresses = partitionedMachines.map((id) => cluster.worker(id).address);
  const endPartition = cluster.network.rule(({ from, to }) => {
    const isPartitioned =
      (partitionedMachines.includes(from) && to === address) ||
      (from === name && partitionedAddresses.includes(to));
    return isPartitioned ? 'lose' : undefined;
  });
  cluster.partitionedPairs.add(`${name}|${relay}`);
  await cluster.clock.advance(12_000);
  endPartition();
  cluster.partitionedPairs.clear();
  await cluster.clock.advance(8_000);
  cluster.assertInvariants();
}

/** The owner is partitioned from its workers, and hands its shard over to the controller that they send heartbeats to. */
async function runHandover(collector: Collector): Promise<void> {
  const cluster = collector.cluster();
  await cluster.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await cluster.until('16 tasks run', () => cluster.runningTasks.length >= 16);
  const { owner } = cluster;
  const address = cluster.controllers[owner]?.address;
  cluster.network.rule(({ from, to }) => {
    const isPartitioned =
      (from.startsWith('host-') && to === address) || (from === `node-${owner}` && to.startsWith('10.1.'));
    return isPartitioned ? 'lose' : undefined;
  });
  await cluster.clock.advance(20_000);
  cluster.assertInvariants();
}

/** Peers extend the owner's lease during a store outage; one of them knows a cancellation that the owner doesn't. */
async function runOutage(collector: Collector): Promise<void> {
  const cluster = collector.cluster({ blocks: 2 });
  await cluster.submit('req-1', { pieces: 3 }, 200);
  await cluster.submit('req-2', { pieces: 3 }, 200);
  await cluster.until('6 tasks run', () => cluster.runningTasks.length >= 6);
  const { owner } = cluster;
  cluster.store.refused.add(`node-${owner}`);
  cluster.dropsPeerMessages = true;
  await cluster.cancel('req-1', (owner + 1) % 3);
  cluster.store.outage(true);
  cluster.dropsPeerMessages = false;
  await cluster.clock.advance(10_000);
  cluster.store.refused.delete(`node-${owner}`);
  cluster.store.outage(false);
  await cluster.clock.advance(5_000);
  cluster.assertInvariants();
}

/** Runs the scenario and returns samples of all records and peer messages that the controllers wrote. */
export async function collectSamples(): Promise<Samples> {
  const collector = new Collector();
  await runJobs(collector);
  await runPartition(collector);
  await runHandover(collector);
  await runOutage(collector);
  return collector.samples;
}
