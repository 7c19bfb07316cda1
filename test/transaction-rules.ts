/** @file The kinds of transactions that controllers send, and the rules that hold for the changes of each. */
import type { SimulatedCluster } from './fakes/simulated-cluster';

/** A change of a transaction in its wire format. */
export type WireChange = { set?: string; delete?: string; data?: unknown };

const sets = (apply: WireChange[], prefix: string): WireChange[] =>
  apply.filter((c) => c.set?.startsWith(prefix) === true);
const deletes = (apply: WireChange[], prefix: string): boolean =>
  apply.some((c) => c.delete?.startsWith(prefix) === true);
const setsField = (apply: WireChange[], prefix: string, field: string, value: unknown): boolean =>
  sets(apply, prefix).some((c) => (c.data as Record<string, unknown>)[field] === value);

/** Every kind of transaction that a controller sends, recognized by its changes. */
export const TRANSACTION_KINDS: Record<string, (apply: WireChange[], guards: { path: string }[]) => boolean> =
  {
    'acceptance of a job': (apply) => sets(apply, 'live/job/').length > 0,
    cancellation: (apply) => setsField(apply, 'final/', 'state', 'cancelled'),
    'end of a job': (apply) => setsField(apply, 'final/', 'state', 'done'),
    'completion record': (apply) => sets(apply, 'live/done/').length > 0,
    'acquisition of a shard': (apply) =>
      sets(apply, 'live/baton').length > 0 && sets(apply, 'live/block/').length > 0,
    'increase of the fencing token': (apply) =>
      sets(apply, 'live/baton').length > 0 && sets(apply, 'live/block/').length === 0,
    'assignment of a shard': (apply) =>
      sets(apply, 'live/block/').length > 0 && sets(apply, 'live/baton').length === 0,
    'record of a rental': (apply) => setsField(apply, 'live/machine/', 'up', false),
    'record that a machine is up': (apply) => setsField(apply, 'live/machine/', 'up', true),
    'deletion of machine records': (apply) => deletes(apply, 'live/machine/'),
    'record of a lease relay': (apply) => sets(apply, 'live/keep/').length > 0,
    'deletion of a lease relay': (apply) => deletes(apply, 'live/keep/'),
    'check of the relay records': (apply, guards) =>
      apply.length === 0 && guards.some((g) => g.path.startsWith('live/keep/')),
    'leader record': (apply) => sets(apply, 'live/leader').length > 0,
    'controller record': (apply) => sets(apply, 'live/node/').length > 0,
    'machine types': (apply) => sets(apply, 'live/types').length > 0,
  };

/** The rule that a change of a record breaks, if any. The rules hold whenever a transaction is executed. */
function findViolation(
  cluster: SimulatedCluster,
  key: string,
  before: unknown,
  after: unknown,
): string | undefined {
  type Fields = Record<string, unknown>;
  const [old, updated] = [before as Fields | undefined, after as Fields | undefined];
  const kind = key.split('/').slice(0, 2).join('/');
  if (key.startsWith('final/')) return old ? 'a final state was replaced' : undefined;
  if (kind === 'live/baton')
    return old && Number(updated?.next) <= Number(old.next)
      ? 'the next fencing token did not increase'
      : undefined;
  if (kind === 'live/lease')
    return old && updated && old.owner !== updated.owner ? 'the lease was taken from its owner' : undefined;
  if (kind === 'live/leader' || kind === 'live/node')
    return old && updated ? 'the record already existed' : undefined;
  if (kind === 'live/block') return old?.holder && !updated?.holder ? 'the holder was removed' : undefined;
  if (kind === 'live/machine')
    return old?.up === true && updated?.up === false ? 'a machine that was up became not up' : undefined;
  const id = key.split('/')[2] ?? '';
  if (kind === 'live/job' && updated)
    return old || cluster.store.data.has(`final/${id}`) ? 'the job was accepted again' : undefined;
  if (kind !== 'live/done' || !updated) return undefined;
  if (!cluster.store.data.has(`live/job/${id}`)) return 'completions of a job that has ended';
  const [oldBits, newBits] = [old, updated].map((r) => Buffer.from(String(r?.bits ?? ''), 'base64'));
  return oldBits?.some((byte, n) => (byte & ~(newBits?.[n] ?? 0)) !== 0)
    ? 'completions were lost'
    : undefined;
}

/** Checks what every transaction does to the records. Violations are added to the returned list. */
export function checkTransactions(cluster: SimulatedCluster): string[] {
  const violations: string[] = [];
  cluster.network.attach('10.2.0.1:2379', (request) => {
    if (request.path !== '/txn') return cluster.store.handle(request);
    const { apply = [] } = request.body as { apply?: WireChange[] };
    const before = apply.map((c) => cluster.store.data.get(c.set ?? c.delete ?? '')?.data);
    const { revision } = cluster.store;
    const response = cluster.store.handle(request);
    if (cluster.store.revision === revision) return response;
    for (const [n, { set, delete: deletedKey, data }] of apply.entries()) {
      const violation =
        set === undefined && before[n] === undefined
          ? undefined
          : findViolation(cluster, set ?? deletedKey ?? '', before[n], data);
      if (violation !== undefined) violations.push(`${set ?? deletedKey} by ${request.from}: ${violation}`);
    }
    return response;
  });
  return violations;
}
