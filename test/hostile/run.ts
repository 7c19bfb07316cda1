/** @file Feeds hostile messages to one decoder in this process, whose heap is nearly full. The process may end of it. */
import { writeSync } from 'node:fs';
import { getHeapStatistics } from 'node:v8';
import * as fc from 'fast-check';
import { decoderOf } from './decoders';
import { hostileFrame, hostileMessage } from './messages';

/** The heap that is free when the messages come: as much as a controller with a full load of jobs has. */
const FREE_HEAP_BYTES = 24 * 1024 * 1024;
const BALLAST_ITEM_LENGTH = 10_000;
/** Health checks wait one second, and a controller may have a third of a core: reading a message may take this long. */
const MAX_CPU_MS = 250;
const MICROSECONDS_PER_MS = 1_000;

/** Which messages a process feeds to which decoder. */
export interface HostileRun {
  readonly decoder: string;
  readonly seed: number;
  readonly messages: number;
}

/** What a process that did not end has seen. */
export interface HostileRunResult {
  readonly read: number;
  readonly accepted: number;
  readonly slowestMs: number;
}

/** Fills the heap until only `FREE_HEAP_BYTES` of it are free. */
function fillHeap(): unknown[][] {
  const ballast: unknown[][] = [];
  for (;;) {
    const { heap_size_limit, used_heap_size } = getHeapStatistics();
    if (heap_size_limit - used_heap_size < FREE_HEAP_BYTES) return ballast;
    ballast.push(Array.from({ length: BALLAST_ITEM_LENGTH }, (_, n) => n + 0.5));
  }
}

function cpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / MICROSECONDS_PER_MS;
}

/** Runs the messages; rejects if one of them is read too slowly, or makes the decoder throw. */
export async function runHostileMessages({
  decoder: name,
  seed,
  messages,
}: HostileRun): Promise<HostileRunResult> {
  const decoder = decoderOf(name);
  for (const bytes of decoder.valid) {
    if (!(await decoder.read(bytes))) throw new Error(`${name}: a valid message was refused`);
  }
  const ballast = fillHeap();
  const result = { read: 0, accepted: 0, slowestMs: 0 };
  const hostile = decoder.isFrame ? hostileFrame(decoder.valid, decoder.maxBytes) : hostileMessage(decoder);
  const property = fc.asyncProperty(hostile, async (bytes) => {
    // Written before the message is read: if the process ends, the parent knows which message it was.
    writeSync(1, `message ${result.read}: ${bytes.length} bytes, ${bytes.subarray(0, 24).toString('hex')}\n`);
    const before = cpuMs();
    if (await decoder.read(bytes)) result.accepted += 1;
    const elapsedMs = cpuMs() - before;
    result.read += 1;
    result.slowestMs = Math.max(result.slowestMs, elapsedMs);
    if (elapsedMs > MAX_CPU_MS) throw new Error(`reading took ${Math.round(elapsedMs)} ms of processor time`);
  });
  await fc.assert(property, { seed, numRuns: messages, endOnFailure: true });
  if (ballast.length === 0) throw new Error('the heap was not filled');
  return result;
}
