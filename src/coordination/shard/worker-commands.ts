/** @file The commands that make a machine's worker do what is wanted of it. */
import type { WorkerCommand } from '../../protocol/model';
import type { Attempt } from './attempt';
import type { DispatchTable } from './dispatch-table';
import type { Machine } from './machine';

const MAX_COMMANDS_PER_MESSAGE = 200;

/** Whether the commands include starts. */
export type StartPolicy = 'with starts' | 'without starts';

/**
 * The difference between what is wanted of the machine and what is on it. Starts go by command only, never in the answer
 * to a heartbeat: a command's answer shows what became of them.
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

/** A completion is forgotten only once it is recorded: until then only the worker remembers it. */
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
