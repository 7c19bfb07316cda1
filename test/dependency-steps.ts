import assert from 'node:assert/strict';
import { submission } from './fakes/submission';
import { CANCEL_S, World } from './fakes/simulated-cluster';

const NODES = [0, 1, 2];

/** Time enough for every node to see the format marks of all. */
const GATE_SEEN_MS = 1_500;

/** Lets time pass until every node accepts submissions with dependencies. */
export async function untilDependenciesAccepted(world: World): Promise<void> {
  await world.untilOwned();
  const isMarked = (index: number): boolean => world.state.data.has(`live/format/node-${index}`);
  await world.until('all format marks are there', () => NODES.every(isMarked));
  await world.clock.advance(GATE_SEEN_MS);
}

/** Submits a job that needs others. */
export async function submitAfter(
  world: World,
  dependencies: readonly string[],
  id: string,
  fields: Record<string, unknown> = {},
  runS = 5,
  index = 0,
): Promise<void> {
  await world.submit(id, { ...fields, awaits: dependencies }, runS, index);
}

/** Submits jobs of which each needs the one before, at the nodes in turn; their ids, in order. */
export async function submitChain(
  world: World,
  length: number,
  fields: Record<string, unknown> = {},
  runS = 5,
): Promise<string[]> {
  const ids: string[] = [];
  for (let number = 1; number <= length; number += 1) {
    const id = `req-${number}`;
    await submitAfter(world, ids.slice(-1), id, fields, runS, number % NODES.length);
    ids.push(id);
  }
  return ids;
}

/** Submits many jobs at once, in groups that the state service can take, and tries again until each is accepted. */
export async function submitMany(
  world: World,
  ids: readonly string[],
  fields: Record<string, unknown>,
  runS: number,
): Promise<void> {
  const missing = new Set(ids);
  for (const id of ids) world.runS(id, runS);
  const user = world.network.caller('user');
  for (let attempt = 0; attempt < 200 && missing.size > 0; attempt += 1) {
    for (const [place, id] of [...missing].slice(0, 30).entries()) {
      const { address } = world.controllers[place % NODES.length] ?? { address: '' };
      user.call(address, 'POST', '/work', submission(id, fields), 5000).then(
        ({ status }) => {
          if (status === 200 || status === 201) missing.delete(id);
        },
        () => undefined,
      );
    }
    await world.clock.advance(1000);
  }
  assert.equal(missing.size, 0, `${missing.size} jobs were not accepted`);
}

/** What every node answers about a job, in the order of the nodes. */
export async function standings(world: World, id: string): Promise<(string | number)[]> {
  const answers: (string | number)[] = [];
  for (const index of NODES) {
    if (world.controllers[index]?.alive) answers.push(await world.standing(id, index));
  }
  return answers;
}

/** Every node calls each of the jobs this. */
export async function everywhere(world: World, ids: readonly string[], standing: string): Promise<void> {
  for (const id of ids) {
    for (const answer of await standings(world, id)) assert.equal(answer, standing, id);
  }
}

/** Lets the bound on cancellations pass; then every node calls each of the jobs cancelled, and none has a task. */
export async function cancelledWithinBound(world: World, ids: readonly string[]): Promise<void> {
  await world.clock.advance(CANCEL_S * 1000);
  await everywhere(world, ids, 'withdrawn');
  const left = world.running.filter((piece) => ids.includes(piece.split('/')[0] ?? ''));
  assert.deepEqual(left, []);
  assert.deepEqual(startsOf(world, ids), []);
}

/** Every command to start a task of these jobs that reached a machine. */
export function startsOf(world: World, ids: readonly string[]): string[] {
  const starts = [...world.workers.values()].flatMap((worker) => worker.startOrders);
  return starts.filter((start) => ids.includes(start.split('/')[0] ?? ''));
}

/** Watches that nothing starts before the state service has recorded all its dependencies as done; what did. */
export function startsBeforeRecorded(world: World): string[] {
  const early: string[] = [];
  world.onStarted = (piece) => {
    const { awaits } = world.rules.described(piece.split('/')[0] ?? '') ?? {};
    for (const id of awaits ?? []) {
      const final = world.state.data.get(`final/${id}`)?.data as { state?: string } | undefined;
      if (final?.state !== 'done') early.push(`${piece} before ${id}`);
    }
  };
  return early;
}

/** A pipeline whose first job runs. */
export async function pipeline(
  length = 5,
  runS = 300,
): Promise<{ world: World; ids: string[]; rest: string[] }> {
  const world = new World();
  await untilDependenciesAccepted(world);
  world.runS('req-1', runS);
  const ids = await submitChain(world, length, {}, runS);
  await world.until('the first runs', () => world.where('req-1/0') !== undefined);
  return { world, ids, rest: ids.slice(1) };
}

/** Asks for every job at every node, again and again for the bound on cancellations and a bit more. */
export async function polledThroughBound(world: World, ids: readonly string[]): Promise<void> {
  const end = world.clock.now() + CANCEL_S * 1000 + 5_000;
  while (world.clock.now() < end) {
    for (const id of ids) {
      for (const index of NODES) {
        const address = world.controllers[index]?.address ?? '';
        world.network
          .caller('user')
          .call(address, 'GET', `/work/${id}`, undefined, 2000)
          .catch(() => undefined);
      }
    }
    await world.clock.advance(5_000);
  }
  world.noRuleBroken();
}

/** A deployment whose nodes all accept submissions with dependencies. */
export async function openWorld(options: ConstructorParameters<typeof World>[0] = {}): Promise<World> {
  const world = new World(options);
  await untilDependenciesAccepted(world);
  return world;
}
