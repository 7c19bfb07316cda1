/** @file Commands to workers. */
import type { Order, Report } from '../../protocol/model';
import { parseReport, writeCommand } from '../../protocol/workers';
import { NoAnswer, type HttpCaller } from '../../transport/http-client';

/** What became of a command. */
export type CommandResult =
  | { kind: 'done'; report: Report }
  /** Not executed: token or session did not match. */
  | { kind: 'refused'; report: Report | undefined }
  | { kind: 'not sent' }
  /** It may have been executed, and may still be, much later. */
  | { kind: 'unknown' };

const TIMEOUT_MS = 2_000;

/** A command to a worker, and under what it is sent. */
export interface Command {
  readonly address: string;
  readonly token: number;
  readonly session: number;
  readonly orders: readonly Order[];
  /** Whether the sender still has the right to act; asked right before the command leaves. */
  mayLeave(): boolean;
}

/** Sends orders straight to a worker. */
export async function sendCommand(http: HttpCaller, command: Command): Promise<CommandResult> {
  const { address, token, session, orders } = command;
  const body = writeCommand(token, session, orders);
  try {
    const answer = await http.call(address, 'POST', '/do', body, TIMEOUT_MS, () => command.mayLeave());
    const report = parseReport(answer.body);
    if (answer.status === 200 && report) return { kind: 'done', report };
    if (answer.status === 409 || answer.status === 400) return { kind: 'refused', report };
    return { kind: 'unknown' };
  } catch (error) {
    if (error instanceof NoAnswer && !error.maybeExecuted) return { kind: 'not sent' };
    return { kind: 'unknown' };
  }
}
