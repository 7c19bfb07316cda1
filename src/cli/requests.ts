/** @file Sends the requests of the command line to a controller. */
import { codec } from '../protocol/codec';
import { HttpClient, NoResponseError, type HttpResponse } from '../transport/http-client';
import { ExitCode, type CommandOutput } from './output';

const TIMEOUT_MS = 5_000;
const MAX_RESPONSE_BYTES = 64 * 1024;

/** A request to a controller, and the format in which its response is printed. */
export interface ControllerRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  /** Formats the body of the response; by default as one line of JSON. */
  readonly print?: (body: unknown) => string;
}

/** Sends a request to a controller, and prints its response, or the reason why the request failed. */
export async function sendRequest(
  output: CommandOutput,
  address: string,
  { method, path, body, print = JSON.stringify }: ControllerRequest,
): Promise<void> {
  const http = new HttpClient(codec, { perHost: 1, idle: () => 0 }, MAX_RESPONSE_BYTES);
  try {
    const response = await http.call(address, method, path, body, TIMEOUT_MS);
    if (response.status === 200 || response.status === 201) output.print(print(response.body));
    else output.fail(describeRefusal(address, response), ExitCode.Refused);
  } catch (error) {
    if (!(error instanceof NoResponseError)) throw error;
    output.fail(`no answer from ${address}: ${error.message}`, ExitCode.NoResponse);
  } finally {
    http.close();
  }
}

function describeRefusal(address: string, { status, body }: HttpResponse): string {
  const error = (body as { error?: unknown } | null)?.error;
  return `${address} answered ${status}${error === undefined ? '' : `: ${String(error)}`}`;
}
