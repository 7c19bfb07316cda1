/** @file Combinations of faults in a fixed order, which the randomized simulation plays one at a time. */
import { CombinationSteps, type CombinationTools } from './combination-steps';
import { CONTROLLERS, type SimulationContext } from './context';
import type { Weighted } from './random-source';

/** How long a combination waits for all controllers and an owner before it begins. */
const READY_CHECK_MS = 100;
const MAX_READY_CHECKS = 150;

interface Combination extends Weighted {
  readonly name: string;
  run(): Promise<void>;
}

/**
 * Faults that do harm in one order only, which chance alone hardly ever brings about: the order is fixed; who, when and
 * for how long is chance. Each has the cluster for itself, because with other faults some break what no scheduler could
 * keep: a machine that hangs can't be returned while the cloud receives nothing.
 */
export class FaultCombinations {
  readonly #steps: CombinationSteps;

  readonly #combinations: readonly Combination[] = [
    { name: 'cancellation in an outage', weight: 2, run: () => this.#cancellationInOutage() },
    { name: 'delayed start of a cancelled job', weight: 1, run: () => this.#delayedStartOfCancelled() },
    { name: 'delayed starts', weight: 1, run: () => this.#delayedStarts() },
    { name: 'relay unknown to the owner', weight: 1, run: () => this.#unknownRelay() },
    { name: 'machines hang', weight: 1, run: () => this.#hangingMachines() },
  ];

  constructor(
    private readonly context: SimulationContext,
    private readonly tools: CombinationTools,
  ) {
    this.#steps = new CombinationSteps(context, tools);
  }

  /** Plays some combination, once all controllers run and the shard is owned. */
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

  /** A cancellation is confirmed while the store refuses the owner alone; then it refuses all. */
  async #cancellationInOutage(): Promise<void> {
    const { context } = this;
    const { random } = context;
    const steps = this.#steps;
    const ids = await steps.runLongJobs(random.between(1, 3));
    const { owner } = context.cluster;
    if (owner < 0) return;
    const [writer, reader] = steps.peersOf(owner);
    const notifications = random.chance(0.8) ? this.#loseChangeNotifications() : undefined;
    const watches = random.chance(0.8) ? this.#loseWatchesExceptOf(owner) : undefined;
    await steps.pause(900, 1_500);
    const refusal = this.tools.store.startRefusal(owner);
    await steps.pause(0, 400);
    await steps.cancelAtOneController(ids.slice(0, random.between(1, 2)), writer, reader);
    if (context.isFaultPhaseOver) return;
    const outage = this.tools.store.startOutage();
    watches?.();
    await steps.pause(31_000, 42_000);
    outage();
    notifications?.();
    refusal();
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
    const rule = cluster.network.rule(({ from, path }) =>
      path.startsWith('/changes') && from !== name ? 'lose' : undefined,
    );
    return faults.startOpenEnded(`watches of the peers of ${name} are lost`, rule);
  }

  /** A start is delayed for longer than a cancellation may take, while the fencing token can't be raised. */
  async #delayedStartOfCancelled(): Promise<void> {
    const { cluster, faults } = this.context;
    const lost = cluster.network.rule(({ path }) => (path === '/hosts/release' ? 'lose' : undefined));
    const returns = faults.startOpenEnded('machines are not returned', lost);
    await this.#steps.runLongJobs(1);
    cluster.addWorker();
    await this.#steps.pause(11_000, 14_000);
    const { owner } = cluster;
    if (owner >= 0 && !this.context.isFaultPhaseOver) await this.#cancelWithDelayedStart(owner);
    returns();
  }

  async #cancelWithDelayedStart(owner: number): Promise<void> {
    const { tools } = this;
    const steps = this.#steps;
    const [writer, reader] = steps.peersOf(owner);
    const id = tools.users.submitLong(1);
    const { deliver, isDelayed } = this.#delayStartsOf(id);
    if (await steps.waitUntil(isDelayed, 8_000)) {
      const refusal = tools.store.startRefusal(owner);
      await steps.cancelAtOneController([id], writer, reader);
      const outage = tools.store.startOutage();
      await steps.pause(26_000, 38_000);
      deliver();
      await steps.pause(3_000, 8_000);
      outage();
      refusal();
    }
    deliver();
  }

  #delayStartsOf(id: string): { deliver: () => void; isDelayed: () => boolean } {
    const { cluster, faults } = this.context;
    let isDelayed = false;
    const rule = cluster.network.rule(({ path, body }) => {
      // Not the stops that follow it: delivered with it, they would end the task before it runs.
      const command = path === '/do' ? JSON.stringify(body) : '';
      if (!command.includes('"run"') || !command.includes(`"${id}/`)) return undefined;
      isDelayed = true;
      return 'hold';
    });
    const deliver = faults.startOpenEnded(`starts of ${id} are delayed`, () => {
      rule();
      cluster.network.releaseHeld();
    });
    return { deliver, isDelayed: () => isDelayed };
  }

  /** Starts for a few machines are delayed, and arrive when the tasks may run elsewhere. */
  async #delayedStarts(): Promise<void> {
    const { cluster, faults, random } = this.context;
    const steps = this.#steps;
    await steps.runLongJobs(1);
    const maxMachines = random.between(1, 3);
    const delayed = new Set<string>();
    const rule = cluster.network.rule((request) => {
      if (request.path !== '/do' || !JSON.stringify(request.body).includes('"run"')) return undefined;
      if (delayed.size < maxMachines) delayed.add(request.to);
      return delayed.has(request.to) ? 'hold' : undefined;
    });
    const deliver = faults.startOpenEnded('starts for some machines are delayed', () => {
      rule();
      cluster.network.releaseHeld();
    });
    this.tools.users.submitLong(random.between(1, 4));
    await steps.waitUntil(() => delayed.size > 0, 15_000);
    await steps.pause(5_000, 20_000);
    deliver();
    await steps.pause(1_000, 3_000);
  }

  /** A few machines can't reach their owner, and find a relay when their leases have nearly expired. */
  async #unknownRelay(): Promise<void> {
    const { cluster, random } = this.context;
    const steps = this.#steps;
    await steps.runLongJobs(3);
    const { owner } = cluster;
    if (owner < 0) return;
    const machines = steps.busyMachines().slice(0, random.between(1, 2));
    const heal = this.#partitionFromWorkers(owner, machines);
    await cluster.clock.sleep(random.between(1_500, 7_000));
    const healPeers = this.#partitionFromPeers(owner);
    await steps.pause(500, 2_400);
    const restoreWatches = this.#loseWatchesOf(owner);
    await steps.pause(2_000, 4_000);
    restoreWatches();
    await steps.pause(4_000, 12_000);
    heal();
    healPeers();
  }

  #partitionFromWorkers(owner: number, machines: readonly string[]): () => void {
    const { cluster, faults } = this.context;
    const name = `node-${owner}`;
    const address = cluster.controllers[owner]?.address ?? '';
    const workers = machines.map((id) => cluster.worker(id));
    const rule = cluster.network.rule(({ from, to }) => {
      const isCommand = from === name && workers.some((worker) => worker.address === to);
      const isReport = to === address && workers.some((worker) => worker.id === from);
      return isCommand || isReport ? 'lose' : undefined;
    });
    return faults.startOpenEnded(`${machines.join()} can't reach ${name}`, rule);
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
    const rule = cluster.network.rule(({ from, path }) =>
      from === name && path.startsWith('/changes') ? 'lose' : undefined,
    );
    return faults.startOpenEnded(`watches of ${name} are lost`, rule);
  }

  /** So many machines hang at once that it looks like a partition, and their jobs are cancelled. */
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
    const outage = random.chance(0.7) ? tools.store.startOutage() : undefined;
    await steps.pause(31_000, 38_000);
    outage?.();
    resume();
  }

  /** Hangs all machines, or those that run tasks. */
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
