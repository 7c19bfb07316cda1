/** @file The protocol between workers and controllers: heartbeats, their responses, and commands. */
import * as z from 'zod';
import type { Uint64 } from '../base/uint64';
import { fieldsOf } from './message-fields';
import type { AttemptPhase, ExitCause, ReportedAttempt, WorkerCommand, WorkerHeartbeat } from './model';
import { listOf, machineName, decodeMap, parseValue, text, uint64, type Parsed } from './schemas';

/**
 * The most tasks on a machine, exited ones included: a report names all of them, in up to 132 bytes of JSON each, and has
 * up to 64 KiB.
 */
export const MAX_TASKS_PER_MACHINE = 400;

/** Phases by their names on the wire. */
const PHASES: Record<string, AttemptPhase> = {
  fetching: 'fetching',
  running: 'running',
  flushing: 'checkpointing',
  ended: 'exited',
};

/** Exit causes by their names on the wire. */
const CAUSES: Record<string, ExitCause> = {
  done: 'done',
  halted: 'stopped',
  error: 'error',
  full: 'no_room',
  in_use: 'busy',
  unknown: 'unknown',
};

/** The names of commands on the wire. */
const VERBS = { start: 'run', stop: 'halt', forget: 'reap' } as const;

const attemptSchema = z.object({
  piece: z.string().regex(/^[^/\s]+\/[0-9]{1,9}$/),
  try: uint64,
  standing: z.string(),
  cause: z.string().nullish(),
  stored: z.boolean().nullish(),
});

const heartbeatSchema = z.object({
  hearth: machineName,
  endpoint: z.string().regex(/^[0-9.]+:[0-9]{1,5}$/),
  frame: text,
  yard: text,
  loaners: z.boolean(),
  shift: uint64,
  tally: uint64,
  baton: uint64,
  warningS: z.number().min(0).nullish(),
  pieces: listOf(attemptSchema),
});

/** The known fields of a heartbeat, which is also the response to commands. */
export const HEARTBEAT_FIELDS = fieldsOf(heartbeatSchema);

function toAttempt(wire: z.infer<typeof attemptSchema>): ReportedAttempt {
  const slash = wire.piece.lastIndexOf('/');
  const phase = PHASES[wire.standing] ?? 'running';
  return {
    job: wire.piece.slice(0, slash),
    task: Number(wire.piece.slice(slash + 1)),
    attempt: wire.try,
    phase,
    // A cause that this version doesn't know is treated as an ordinary failure.
    cause: phase === 'exited' ? (CAUSES[wire.cause ?? ''] ?? 'error') : null,
    hasCheckpoint: wire.stored ?? false,
  };
}

function toHeartbeat(wire: z.infer<typeof heartbeatSchema>): WorkerHeartbeat {
  return {
    machine: wire.hearth,
    address: wire.endpoint,
    type: wire.frame,
    zone: wire.yard,
    spot: wire.loaners,
    incarnation: wire.shift,
    sequence: wire.tally,
    fencingToken: wire.baton,
    spotNoticeS: wire.warningS ?? null,
    attempts: wire.pieces.map(toAttempt),
  };
}

/** Reads a decoded heartbeat; undefined when any part is malformed, so that no part of it is applied. */
export function parseHeartbeat(value: unknown): WorkerHeartbeat | undefined {
  const parsed = parseValue(heartbeatSchema, value);
  return parsed.ok ? toHeartbeat(parsed.value) : undefined;
}

/** Reads the body of a heartbeat; a malformed one comes with its first problem, and no part of it is applied. */
export function readHeartbeat(body: Uint8Array): Parsed<WorkerHeartbeat> {
  const decoded = decodeMap(body, HEARTBEAT_FIELDS);
  if (!decoded.ok) return decoded;
  const parsed = parseValue(heartbeatSchema, decoded.value);
  return parsed.ok ? { ok: true, value: toHeartbeat(parsed.value) } : parsed;
}

function writeCommand(command: WorkerCommand): Record<string, unknown> {
  const fields = {
    verb: VERBS[command.op],
    piece: `${command.job}/${command.task}`,
    try: command.attempt,
  };
  return command.op === 'stop' ? { ...fields, leewayS: command.graceS } : fields;
}

/** Encodes commands for a worker, which executes them in order. */
export function writeCommands(commands: readonly WorkerCommand[]): Record<string, unknown>[] {
  return commands.map(writeCommand);
}

/** The body of a response that renews the worker's lease and contains commands. */
export function writeHeartbeatResponse(
  fencingToken: number,
  commands: readonly WorkerCommand[],
): Record<string, unknown> {
  return { baton: fencingToken, orders: writeCommands(commands) };
}

/** The body of a response that redirects a worker to the owner of its shard, or without `owner` to any controller. */
export function writeRedirect(owner: string | undefined): Record<string, unknown> {
  return owner === undefined ? {} : { foreman: owner };
}

/** A request body that sends commands directly to a worker, which executes them only in the given incarnation. */
export function writeCommandRequest(
  fencingToken: number,
  incarnation: Uint64,
  commands: readonly WorkerCommand[],
): Record<string, unknown> {
  return { baton: fencingToken, shift: incarnation, orders: writeCommands(commands) };
}
