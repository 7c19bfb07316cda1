/** @file Sequences of faults in a fixed order, which the randomized simulation runs one at a time. */
import { CombinationSteps, type CombinationTools } from './combination-steps';
import { CONTROLLERS, type SimulationContext } from './context';
import type { Weighted } from './random-source';

/** A combination starts when all controllers are running and the shard has an owner; these limit the wait for that. */
const READY_CHECK_MS = 100;
const MAX_READY_CHECKS = 150;

interface Combination extends Weighted {
  readonly name: string;
  run(): Promise<void>;
}

/**
 * Sequences of faults that are harmful only in one order, which random injection hardly ever produces. The order is
 * fixed; hosts, times and durations are random. No other fault is active meanwhile, because with some other faults no
 * scheduler could keep the invariants: a hanging machine can't be released while the cloud receives no requests.
 */
export class FaultCombinations {
  readonly #steps: CombinationSteps;

  readonly #combinations: readonly Combination[] = [
    { name: 'cancellation in an outage', weight: 2, run: () => this.#cancellationInOutage() },
    {
      name: 'delayed start command of a cancelled job',
      weight: 1,
      run: () => this.#delayedStartOfCancelled(),
    },
    { name: 'delayed start commands', weight: 1, run: () => this.#delayedStarts() },
    { name: 'relay unknown to the owner', weight: 1, run: () => this.#unknownRelay() },
    { name: 'machines hang', weight: 1, run: () => this.#hangingMachines() },
  ];

  constructor(
    private readonly context: SimulationContext,
    private readonly tools: CombinationTools,
  ) {
    this.#steps = new CombinationSteps(context, tools);
  }

  /** Runs a random combination, once all controllers are running and the shard has an owner. */
  async runAny(): Promise<void> {
    const { cluster, random } = this.context;
    const { name, run: play } = random.pickWeighted(this.#combinations);
    const isReady = (): boolean => cluster.owner >= 0 && cluster.controllers.every(({ alive }) => alive);
    for (let check = 0; check < MAX_READY_CHECKS && !isReady(); check += 1) {
      await cluster.clock.sleep(READY_CHECK_MS);
    }
    if (cluster.owner < 0 || this.context.isFaultPhaseOver) return;
    this.context.note(`fault combination: ${name}`);
    await play();
  }

  /** A cancellation is confirmed while the store refuses only the owner's requests; then an outage follows. */
  async #cancellationInOutage(): Promise<void> {
    const { context } = this;
    const { random } = context;
    const steps = this.#steps;
    const ids = await steps.runLongJobs(random.between(1, 3));
    const { owner } = context.cluster;
    if (owner < 0) return;
    const [writer, reader] = steps.peersOf(owner);
    const restoreNotifications = random.chance(0.8) ? this.#loseChangeNotifications() : undefined;
    const restoreWatches = random.chance(0.8) ? this.#loseWatchesExceptOf(owner) : undefined;
    await steps.pause(900, 1_500);
    const endRefusal = this.tools.store.startRefusal(owner);
    await steps.pause(0, 400);
    await steps.cancelAtOneController(ids.slice(0, random.between(1, 2)), writer, reader);
    if (context.isFaultPhaseOver) return;
    const endOutage = this.tools.store.startOutage();
    restoreWatches?.();
    await steps.pause(31_000, 42_000);
    endOutage();
    restoreNotifications?.();
    endRefusal();
  }

  #loseChangeNotifications(): () => void {
    const { cluster, faults } = this.context;
    cluster.lostPeerMessages.add('change notification');
    return faults.startOpenEnded('change notifications are lost', () =>
      cluster.lostPeerMessages.delete('change notification'),
    );
  }

  #loseWatchesExceptOf(owner: number): () => void {
    const { cluster, faults } = this.context;
    const name = `node-${owner}`;
    const removeRule = cluster.network.rule(({ from, path }) =>
      path.startsWith('/changes') && from !== name ? 'lose' : undefined,
    );
    return faults.startOpenEnded(`watches of the peers of ${name} are lost`, removeRule);
  }

  /** A start command is delayed beyond the time limit for cancellations; the fencing token can't be raised then. */
  async #delayedStartOfCancelled(): Promise<void> {
    const { cluster, faults } = this.context;
    const removeRule = cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
    const restoreReleases = faults.startOpenEnded('requests to release machines are lost', removeRule);
    await this.#steps.runLongJobs(1);
    cluster.addWorker();
    await this.#steps.pause(11_000, 14_000);
    const { owner } = cluster;
    if (owner >= 0 && !this.context.isFaultPhaseOver) await this.#cancelWithDelayedStart(owner);
    restoreReleases();
  }

  async #cancelWithDelayedStart(owner: number): Promise<void> {
    const { tools } = this;
    const steps = this.#steps;
    const [writer, reader] = steps.peersOf(owner);
    const id = tools.users.submitLong(1);
    const { deliver, isDelayed } = this.#delayStartsOf(id);
    if (await steps.waitUntil(isDelayed, 8_000)) {
      const endRefusal = tools.store.startRefusal(owner);
      await steps.cancelAtOneController([id], writer, reader);
      const endOutage = tools.store.startOutage();
      await steps.pause(26_000, 38_000);
      deliver();
      await steps.pause(3_000, 8_000);
      endOutage();
      endRefusal();
    }
    deliver();
  }

  #delayStartsOf(id: string): { deliver: () => void; isDelayed: () => boolean } {
    const { cluster, faults } = this.context;
    let isDelayed = false;
    const removeRule = cluster.network.rule(({ path, body }) => {
      // The stop commands that follow are not delayed: delivered together, they would end the task before it runs.
      const command = path === '/do' ? JSON.stringify(body) : '';
      if (!command.includes('"run"') || !command.includes(`"${id}/`)) return undefined;
      isDelayed = true;
      return 'hold';
    });
    const deliver = faults.startOpenEnded(`start commands of ${id} are delayed`, () => {
      removeRule();
      cluster.network.releaseHeld();
    });
    return { deliver, isDelayed: () => isDelayed };
  }

  /** Start commands for a few machines are delayed, and arrive when the tasks may already run on other machines. */
  async #delayedStarts(): Promise<void> {
    const { cluster, faults, random } = this.context;
    const steps = this.#steps;
    await steps.runLongJobs(1);
    const maxMachines = random.between(1, 3);
    const delayed = new Set<string>();
    const removeRule = cluster.network.rule((request) => {
      if (request.path !== '/do' || !JSON.stringify(request.body).includes('"run"')) return undefined;
      if (delayed.size < maxMachines) delayed.add(request.to);
      return delayed.has(request.to) ? 'hold' : undefined;
    });
    const deliverStarts = faults.startOpenEnded('start commands for some machines are delayed', () => {
      removeRule();
      cluster.network.releaseHeld();
    });
    this.tools.users.submitLong(random.between(1, 4));
    await steps.waitUntil(() => delayed.size > 0, 15_000);
    await steps.pause(5_000, 20_000);
    deliverStarts();
    await steps.pause(1_000, 3_000);
  }

  /** A few machines can't reach the owner, and find a relay when their leases have nearly expired. */
  async #unknownRelay(): Promise<void> {
    const { cluster, random } = this.context;
    const steps = this.#steps;
    await steps.runLongJobs(3);
    const { owner } = cluster;
    if (owner < 0) return;
    const machines = steps.busyMachines().slice(0, random.between(1, 2));
    const reconnectWorkers = this.#partitionFromWorkers(owner, machines);
    await cluster.clock.sleep(random.between(1_500, 7_000));
    const reconnectPeers = this.#partitionFromPeers(owner);
    await steps.pause(500, 2_400);
    const restoreWatches = this.#loseWatchesOf(owner);
    await steps.pause(2_000, 4_000);
    restoreWatches();
    await steps.pause(4_000, 12_000);
    reconnectWorkers();
    reconnectPeers();
  }

  #partitionFromWorkers(owner: number, machines: readonly string[]): () => void {
    const { cluster, faults } = this.context;
    const name = `node-${owner}`;
    const address = cluster.controllers[owner]?.address ?? '';
    const workers = machines.map((id) => cluster.worker(id));
    const removeRule = cluster.network.rule(({ from, to }) => {
      const isCommand = from === name && workers.some((worker) => worker.address === to);
      const isHeartbeat = to === address && workers.some((worker) => worker.id === from);
      return isCommand || isHeartbeat ? 'lose' : undefined;
    });
    return faults.startOpenEnded(`${machines.join()} can't reach ${name}`, removeRule);
  }

  #partitionFromPeers(owner: number): () => void {
    const { cluster, faults } = this.context;
    const name = `node-${owner}`;
    const pairs = this.#steps.peersOf(owner).map((peer) => `${name}|node-${peer}`);
    for (const pair of pairs) cluster.partitionedPairs.add(pair);
    return faults.startOpenEnded(`${name} is isolated from its peers`, () => {
      for (const pair of pairs) cluster.partitionedPairs.delete(pair);
    });
  }

  #loseWatchesOf(owner: number): () => void {
    const { cluster, faults } = this.context;
    const name = `node-${owner}`;
    const removeRule = cluster.network.rule(({ from, path }) =>
      from === name && path.startsWith('/changes') ? 'lose' : undefined,
    );
    return faults.startOpenEnded(`watches of ${name} are lost`, removeRule);
  }

  /** So many machines hang at once that it looks like a partition; then their jobs are cancelled. */
  async #hangingMachines(): Promise<void> {
    const { context, tools } = this;
    const { random } = context;
    const steps = this.#steps;
    const ids = await steps.runLongJobs(random.between(1, 3));
    const resume = this.#hangMachines();
    for (const id of ids) {
      if (!(await steps.cancel(id, random.pick(CONTROLLERS) ?? 0))) break;
      await steps.pause(0, 3_000);
    }
    if (context.isFaultPhaseOver) return;
    const endOutage = random.chance(0.7) ? tools.store.startOutage() : undefined;
    await steps.pause(31_000, 38_000);
    endOutage?.();
    resume();
  }

  /** Makes all machines hang, or those that run tasks. */
  #hangMachines(): () => void {
    const { cluster, faults, random } = this.context;
    const busy = this.#steps.busyMachines();
    const up = [...cluster.workers.values()].filter((worker) => worker.isUp);
    const hanging = random.chance(0.6) ? up : busy.map((id) => cluster.worker(id));
    for (const worker of hanging) worker.isHanging = true;
    return faults.startOpenEnded(`${hanging.map(({ id }) => id).join()} hang`, () => {
      for (const worker of hanging) worker.isHanging = false;
    });
  }
}
