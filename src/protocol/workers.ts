import * as z from 'zod';
import { decodeMap } from './codec';
import type { AttemptPhase, ExitCause, WorkerCommand, WorkerHeartbeat } from './model';

const count = z.int().min(0);
const PHASES: Record<string, AttemptPhase> = {
  fetching: 'fetching',
  running: 'running',
  flushing: 'checkpointing',
  ended: 'exited',
};
const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  error: 'error',
  full: 'no_room',
  in_use: 'busy',
  unknown: 'unknown',
};

const heartbeatSchema = z.object({
  hearth: z.string().min(1).max(150),
  endpoint: z.string().regex(/^[0-9.]+:[0-9]{1,5}$/),
  frame: z.string().min(1),
  yard: z.string().min(1),
  loaners: z.boolean(),
  shift: count,
  tally: count,
  baton: count,
  warningS: z.number().min(0).nullish(),
  pieces: z.array(
    z.object({
      piece: z.string().regex(/^[^/\s]+\/[0-9]{1,9}$/),
      try: count,
      standing: z.string(),
      cause: z.string().nullish(),
      stored: z.boolean().nullish(),
    }),
  ),
});

/** Reads a worker's report, whole or not at all: a malformed one must not touch any table. */
export function parseHeartbeat(value: unknown): WorkerHeartbeat | undefined {
  const parsed = heartbeatSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const r = parsed.data;
  return {
    machine: r.hearth,
    address: r.endpoint,
    type: r.frame,
    zone: r.yard,
    spot: r.loaners,
    incarnation: r.shift,
    sequence: r.tally,
    fencingToken: r.baton,
    spotNoticeS: r.warningS ?? null,
    attempts: r.pieces.map((p) => {
      const slash = p.piece.lastIndexOf('/');
      const phase = PHASES[p.standing] ?? 'running';
      return {
        job: p.piece.slice(0, slash),
        task: Number(p.piece.slice(slash + 1)),
        attempt: p.try,
        phase,
        // An exit whose cause we don't know is a failure like any other.
        cause: phase === 'exited' ? (CAUSES[p.cause ?? ''] ?? 'error') : null,
        hasCheckpoint: p.stored ?? false,
      };
    }),
  };
}

export function readHeartbeat(body: Uint8Array): WorkerHeartbeat | undefined {
  const map = decodeMap(body);
  return map && parseHeartbeat(map);
}

const VERBS = { start: 'run', stop: 'halt', forget: 'reap' } as const;

export function writeCommands(orders: readonly WorkerCommand[]): Record<string, unknown>[] {
  return orders.map((order) => ({
    verb: VERBS[order.op],
    piece: `${order.job}/${order.task}`,
    try: order.attempt,
    ...(order.op === 'stop' ? { leewayS: order.graceS } : {}),
  }));
}

export function writeHeartbeatResponse(
  token: number,
  orders: readonly WorkerCommand[],
): Record<string, unknown> {
  return { baton: token, orders: writeCommands(orders) };
}

export function writeRedirect(owner: string | undefined): Record<string, unknown> {
  return owner === undefined ? {} : { foreman: owner };
}

export function writeCommandRequest(
  token: number,
  session: number,
  orders: readonly WorkerCommand[],
): Record<string, unknown> {
  return { baton: token, shift: session, orders: writeCommands(orders) };
}
