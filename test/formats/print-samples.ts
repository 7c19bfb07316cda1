/** @file Prints samples of what controllers write. It is bundled with the production version's sources and run. */
import { Bitmap } from '../../src/bookkeeping/bitmap';
import type { BitmapSample } from './samples';
import { collectSamples } from './scenario';

/** The bitmap of the production version, which supports only one chunk size. */
interface ChunkedBitmap {
  readonly chunks: number;
  set(task: number): boolean;
  encodeChunk(chunk: number): string;
}

/** Samples of encoded bitmaps. Works only with the production version's sources. */
function bitmaps(): BitmapSample[] {
  const cases = [
    { tasks: 1, done: [0] },
    { tasks: 20, done: [0, 1, 7, 8, 19] },
    { tasks: 65_536, done: [0, 4_097, 65_535] },
    { tasks: 70_000, done: [3, 65_535, 65_536, 69_999] },
  ];
  return cases.map(({ tasks, done }) => {
    const bitmap = new Bitmap(tasks) as unknown as ChunkedBitmap;
    for (const task of done) bitmap.set(task);
    const chunks = Array.from({ length: bitmap.chunks }, (_, chunk) => bitmap.encodeChunk(chunk));
    return { tasks, done, chunks };
  });
}

/** Prints samples of what the controllers of the production version write. */
async function main(): Promise<void> {
  const samples = { ...(await collectSamples()), bitmaps: bitmaps() };
  process.stdout.write(`${JSON.stringify(samples, null, 2)}\n`);
}

void main();
