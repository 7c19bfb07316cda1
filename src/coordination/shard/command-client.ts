/** @file Sends commands to workers over HTTP. */
import type { Uint64 } from '../../base/uint64';
import type { WorkerCommand, WorkerHeartbeat } from '../../protocol/model';
import { parseHeartbeat, writeCommandRequest } from '../../protocol/workers';
import { NoResponseError, type HttpCaller } from '../../transport/http-client';

/** The outcome of a command request. */
export type CommandResult =
  | { kind: 'done'; heartbeat: WorkerHeartbeat }
  /** Not executed: the fencing token or the incarnation did not match. */
  | { kind: 'refused'; heartbeat: WorkerHeartbeat | undefined }
  /** Not executed: no byte of the request was sent. */
  | { kind: 'not sent' }
  /** No usable response: the worker may have executed the request, or may execute it much later. */
  | { kind: 'unknown' };

const COMMAND_TIMEOUT_MS = 2_000;

/** Commands to a worker, with the fencing token and the incarnation that the worker checks. */
export interface CommandRequest {
  readonly address: string;
  readonly fencingToken: number;
  readonly incarnation: Uint64;
  readonly commands: readonly WorkerCommand[];
  /** Whether the sender still holds a valid lease; checked right before the first byte is sent. */
  maySend(): boolean;
}

/** Sends commands to a worker. Never rejects: failures are results. */
export async function sendCommands(http: HttpCaller, request: CommandRequest): Promise<CommandResult> {
  const { address, fencingToken, incarnation, commands } = request;
  const body = writeCommandRequest(fencingToken, incarnation, commands);
  try {
    const response = await http.call(address, 'POST', '/do', body, COMMAND_TIMEOUT_MS, () =>
      request.maySend(),
    );
    const heartbeat = parseHeartbeat(response.body);
    if (response.status === 200 && heartbeat) return { kind: 'done', heartbeat };
    if (response.status === 409 || response.status === 400) return { kind: 'refused', heartbeat };
    return { kind: 'unknown' };
  } catch (error) {
    if (error instanceof NoResponseError && !error.mayHaveExecuted) return { kind: 'not sent' };
    return { kind: 'unknown' };
  }
}
