/** @file Computes the commands that bring a machine's attempts to their desired state. */
import type { WorkerCommand } from '../../protocol/model';
import type { Attempt } from './attempt';
import type { DispatchTable } from './dispatch-table';
import type { Machine } from './machine';

const MAX_COMMANDS_PER_MESSAGE = 200;

/** Whether to include start commands. */
export type StartPolicy = 'with starts' | 'without starts';

/**
 * Computes the commands that bring the attempts on the machine to their desired state. Start commands are sent only in
 * command requests, never in responses to heartbeats, because the response to a command request reports their results.
 */
export function commandsFor(
  machine: Machine,
  tables: ReadonlyMap<string, DispatchTable>,
  startPolicy: StartPolicy,
): WorkerCommand[] {
  const commands: WorkerCommand[] = [];
  for (const attempt of machine.attempts.values()) {
    if (commands.length >= MAX_COMMANDS_PER_MESSAGE) break;
    const op = wantedOperation(machine, attempt, tables);
    if (op === undefined || (op === 'start' && startPolicy === 'without starts')) continue;
    commands.push(command(op, attempt));
  }
  return commands;
}

function wantedOperation(
  machine: Machine,
  attempt: Attempt,
  tables: ReadonlyMap<string, DispatchTable>,
): WorkerCommand['op'] | undefined {
  if (attempt.phase === 'exited') {
    return isOutcomeRecorded(attempt, tables) && machine.worker.isSafeToForget(attempt)
      ? 'forget'
      : undefined;
  }
  if (attempt.eviction) {
    const isSaving = attempt.phase === 'checkpointing' && attempt.eviction.graceS > 0;
    return attempt.wasStartSent && !isSaving ? 'stop' : undefined;
  }
  return attempt.wasStartSent ? undefined : 'start';
}

/** Whether the worker may forget the attempt's outcome: it must keep a completion until the store has recorded it. */
function isOutcomeRecorded(attempt: Attempt, tables: ReadonlyMap<string, DispatchTable>): boolean {
  if (attempt.exitCause !== 'done') return true;
  const table = tables.get(attempt.job);
  return !table || table.recorded.has(attempt.task);
}

function command(op: WorkerCommand['op'], attempt: Attempt): WorkerCommand {
  const { job, task, number } = attempt;
  if (op === 'stop') return { op, job, task, attempt: number, graceS: attempt.eviction?.graceS ?? 0 };
  return { op, job, task, attempt: number };
}
