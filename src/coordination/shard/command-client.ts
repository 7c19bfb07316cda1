/** @file Commands to workers. */
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import { parseHeartbeat, writeCommandRequest } from '../../protocol/workers';
import { NoResponseError, type HttpCaller } from '../../transport/http-client';

/** What became of a command. */
export type CommandResult =
  | { kind: 'done'; report: WorkerHeartbeat }
  /** Not executed: token or session did not match. */
  | { kind: 'refused'; report: WorkerHeartbeat | undefined }
  | { kind: 'not sent' }
  /** It may have been executed, and may still be, much later. */
  | { kind: 'unknown' };

const TIMEOUT_MS = 2_000;

/** A command to a worker, and under what it is sent. */
export interface CommandRequest {
  readonly address: string;
  readonly fencingToken: number;
  readonly incarnation: number;
  readonly commands: readonly WorkerCommand[];
  /** Whether the sender still has the right to act; asked right before the command leaves. */
  maySend(): boolean;
}

/** Sends commands straight to a worker. */
export async function sendCommands(http: HttpCaller, command: CommandRequest): Promise<CommandResult> {
  const { address, fencingToken, incarnation, commands } = command;
  const body = writeCommandRequest(fencingToken, incarnation, commands);
  try {
    const answer = await http.call(address, 'POST', '/do', body, TIMEOUT_MS, () => command.maySend());
    const report = parseHeartbeat(answer.body);
    if (answer.status === 200 && report) return { kind: 'done', report };
    if (answer.status === 409 || answer.status === 400) return { kind: 'refused', report };
    return { kind: 'unknown' };
  } catch (error) {
    if (error instanceof NoResponseError && !error.mayHaveExecuted) return { kind: 'not sent' };
    return { kind: 'unknown' };
  }
}
