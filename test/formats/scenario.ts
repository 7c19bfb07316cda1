import { isDeepStrictEqual } from 'node:util';
import { readPeerMessage } from '../../src/protocol/peers';
import type { Controller } from '../../src/coordination/controller';
import type { ControllerProcess } from '../fakes/deployment';
import { World } from '../fakes/simulated-cluster';
import { keyPattern, type PeerSample, type RecordSample, type Samples } from './samples';
import { valueShape, wireShape } from './shape';

const STATE = '10.2.0.1:2379';
const SAMPLES_OF_A_VARIANT = 2;

/** Keeps a few different samples of each variant. */
class Collection<T> {
  readonly #variants = new Map<string, T[]>();

  add(variant: string, sample: T): void {
    const samples = this.#variants.get(variant) ?? [];
    const isNew = samples.every((known) => !isDeepStrictEqual(known, sample));
    if (isNew && samples.length < SAMPLES_OF_A_VARIANT) samples.push(sample);
    this.#variants.set(variant, samples);
  }

  get all(): T[] {
    return [...this.#variants.keys()].sort().flatMap((variant) => this.#variants.get(variant) ?? []);
  }
}

/** The production version's deployment has the controller under its old name, `node`. */
function controllerOf(process: ControllerProcess): Controller {
  return 'node' in process ? (process.node as Controller) : process.controller;
}

/** Values by which records of the same fields still differ in kind. */
function alternatives(value: unknown): string {
  const fields = Object.entries((value ?? {}) as Record<string, unknown>);
  return JSON.stringify(fields.filter(([name, field]) => name === 'state' || typeof field === 'boolean'));
}

/**
 * Drives a deployment through everything that makes controllers write a record or tell each other something, and
 * collects samples. It uses nothing but what the production version has as well: it is run on the sources of either.
 */
class Collector {
  readonly #records = new Collection<RecordSample>();
  readonly #peerMessages = new Collection<PeerSample>();

  get samples(): Samples {
    return { records: this.#records.all, peerMessages: this.#peerMessages.all };
  }

  /** A deployment whose records and peer messages are collected. */
  world(operator: Record<string, unknown> = {}): World {
    const world = new World({ operator });
    world.network.attach(STATE, async (request) => {
      const before = world.state.ledger;
      const answer = await world.state.handle(request);
      if (world.state.ledger > before) this.#collectRecords(world, before);
      return answer;
    });
    for (const process of world.controllers) {
      const controller = controllerOf(process);
      const receive = controller.onPeerFrame.bind(controller);
      controller.onPeerFrame = (bytes) => {
        this.#collectPeerMessage(bytes);
        receive(bytes);
      };
    }
    return world;
  }

  #collectRecords(world: World, since: number): void {
    for (const [key, { data, stamp, hold }] of world.state.data) {
      if (stamp <= since) continue;
      const isHeldByLease = hold !== undefined;
      const variant = [keyPattern(key), isHeldByLease, alternatives(data), ...valueShape(data)].join(' ');
      this.#records.add(variant, { key, value: structuredClone(data), isHeldByLease });
    }
  }

  #collectPeerMessage(bytes: Uint8Array): void {
    const message = readPeerMessage(bytes);
    const kind =
      message?.kind === 'change notification'
        ? `${keyPattern(message.event.key)} ${message.event.deleted}`
        : message?.kind;
    const base64 = Buffer.from(bytes).toString('base64');
    this.#peerMessages.add([kind, ...wireShape(bytes)].join(' '), { base64, message });
  }
}

/** Jobs of all sorts are accepted, partly done, done and cancelled, and a controller dies and returns. */
async function runJobs(collector: Collector): Promise<void> {
  const world = collector.world();
  await world.submit('req-1', { pieces: 30, reckonS: 4 }, 4);
  await world.submit('req-2', {
    ...{ pieces: 2, urgency: 'prod', frames: ['m4'], yard: 'a', together: true, loaners: false },
    ...{ bookmarkS: 2, stashS: 1, dueS: 400, cpus: 0.5, sizeGb: 1.5 },
  });
  await world.submit('req-4', { pieces: 60, cpus: 2 }, 3);
  await world.submit('req-3', { pieces: 40, crew: 'red', apart: true, urgency: 'best_effort' }, 9);
  await world.clock.advance(14_000);
  await world.cancel('req-3');
  await world.untilStanding('req-1', 'done');
  await world.untilStanding('req-2', 'done');
  await world.untilStanding('req-4', 'done');
  // A machine that no record names is taken in.
  world.addWorker('b');
  await world.clock.advance(10_000);
  const owner = await world.untilOwned();
  world.kill(owner);
  await world.clock.advance(12_000);
  world.restart(owner);
  await world.clock.advance(5_000);
  world.noRuleBroken();
}

/** Some machines and a controller can't reach the owner: that controller keeps their leases. */
async function runPartition(collector: Collector): Promise<void> {
  const world = collector.world();
  await world.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await world.until('16 tasks run', () => world.running.length >= 16);
  const { owner } = world;
  const name = `node-${owner}`;
  const keeper = `node-${(owner + 1) % 3}`;
  const address = world.controllers[owner]?.address;
  const far = [...new Set(world.running.map((task) => world.where(task) ?? ''))].slice(0, 2);
  const farAddresses = far.map((id) => world.worker(id).address);
  const heal = world.network.rule(({ from, to }) => {
    const isCut = (far.includes(from) && to === address) || (from === name && farAddresses.includes(to));
    return isCut ? 'lose' : undefined;
  });
  world.apart.add(`${name}|${keeper}`);
  await world.clock.advance(12_000);
  heal();
  world.apart.clear();
  await world.clock.advance(8_000);
  world.noRuleBroken();
}

/** The owner hears none of its workers, and gives its shard to the controller that they come to. */
async function runHandOver(collector: Collector): Promise<void> {
  const world = collector.world();
  await world.submit('req-1', { pieces: 16, reckonS: 60 }, 60);
  await world.until('16 tasks run', () => world.running.length >= 16);
  const { owner } = world;
  const address = world.controllers[owner]?.address;
  world.network.rule(({ from, to }) => {
    const isCut =
      (from.startsWith('host-') && to === address) || (from === `node-${owner}` && to.startsWith('10.1.'));
    return isCut ? 'lose' : undefined;
  });
  await world.clock.advance(20_000);
  world.noRuleBroken();
}

/** The owner's lease is prolonged by its peers during an outage; one of them knows of a cancellation, it doesn't. */
async function runOutage(collector: Collector): Promise<void> {
  const world = collector.world({ blocks: 2 });
  await world.submit('req-1', { pieces: 3 }, 200);
  await world.submit('req-2', { pieces: 3 }, 200);
  await world.until('6 tasks run', () => world.running.length >= 6);
  const { owner } = world;
  world.state.refused.add(`node-${owner}`);
  world.silencePeers = true;
  await world.cancel('req-1', (owner + 1) % 3);
  world.state.outage(true);
  world.silencePeers = false;
  await world.clock.advance(10_000);
  world.state.refused.delete(`node-${owner}`);
  world.state.outage(false);
  await world.clock.advance(5_000);
  world.noRuleBroken();
}

/** Samples of all records and peer messages, written by the controllers of the sources that this is run with. */
export async function collectSamples(): Promise<Samples> {
  const collector = new Collector();
  await runJobs(collector);
  await runPartition(collector);
  await runHandOver(collector);
  await runOutage(collector);
  return collector.samples;
}
