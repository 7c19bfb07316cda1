/** Tasks per record: their bits as base64 text stay well inside the smallest value limit (16 KiB). */
export const CHUNK_TASKS = 65_536;

/** Which tasks of a job are done, as it lies in the state service: one bit a task, in chunks. */
export class Bitmap {
  readonly #bits: Uint8Array;
  #count = 0;

  constructor(readonly size: number) {
    this.#bits = new Uint8Array(Math.ceil(size / 8));
  }

  get count(): number {
    return this.#count;
  }

  has(index: number): boolean {
    return ((this.#bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  /** True when the bit was not set before. */
  set(index: number): boolean {
    if (index < 0 || index >= this.size || this.has(index)) return false;
    this.#bits[index >> 3] = (this.#bits[index >> 3] ?? 0) | (1 << (index & 7));
    this.#count += 1;
    return true;
  }

  get chunks(): number {
    return Math.ceil(this.size / CHUNK_TASKS);
  }

  encodeChunk(chunk: number): string {
    const from = (chunk * CHUNK_TASKS) / 8;
    return Buffer.from(this.#bits.subarray(from, from + CHUNK_TASKS / 8)).toString('base64');
  }

  /** Adds the bits of a chunk; returns the tasks that are new. */
  mergeChunk(chunk: number, text: string): number[] {
    const bytes = Buffer.from(text, 'base64');
    const added: number[] = [];
    for (let byte = 0; byte < bytes.length; byte += 1) {
      const value = bytes[byte] ?? 0;
      for (let bit = 0; value >> bit !== 0; bit += 1) {
        const index = chunk * CHUNK_TASKS + byte * 8 + bit;
        if ((value >> bit) & 1 && this.set(index)) added.push(index);
      }
    }
    return added;
  }
}
