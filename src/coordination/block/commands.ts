import type { Order, Report } from '../../protocol/model';
import { parseReport, writeCommand } from '../../protocol/workers';
import { NoAnswer, type HttpCaller } from '../../transport/http-client';

export type CommandResult =
  | { kind: 'done'; report: Report }
  /** Not executed: token or session did not match. */
  | { kind: 'refused'; report: Report | undefined }
  | { kind: 'not sent' }
  /** It may have been executed, and may still be, much later. */
  | { kind: 'unknown' };

const TIMEOUT_MS = 2_000;

/** Sends orders straight to a worker. */
export async function sendCommand(
  http: HttpCaller,
  address: string,
  token: number,
  session: number,
  orders: readonly Order[],
): Promise<CommandResult> {
  try {
    const answer = await http.call(address, 'POST', '/do', writeCommand(token, session, orders), TIMEOUT_MS);
    const report = parseReport(answer.body);
    if (answer.status === 200 && report) return { kind: 'done', report };
    if (answer.status === 409 || answer.status === 400) return { kind: 'refused', report };
    return { kind: 'unknown' };
  } catch (error) {
    if (error instanceof NoAnswer && !error.maybeExecuted) return { kind: 'not sent' };
    return { kind: 'unknown' };
  }
}
