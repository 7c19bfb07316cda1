/** @file A bitmap of a job's completed tasks. */

/** The completed tasks of a job, with one bit for each task. Completion records store ranges of these bits. */
export class Bitmap {
  readonly #bits: Uint8Array;
  #count = 0;

  constructor(readonly size: number) {
    this.#bits = new Uint8Array(Math.ceil(size / 8));
  }

  /** The number of bits that are set. */
  get count(): number {
    return this.#count;
  }

  /** Whether the bit is set. */
  has(index: number): boolean {
    return ((this.#bits[index >> 3] ?? 0) & (1 << (index & 7))) !== 0;
  }

  /** Sets a bit. True: the index is in the bitmap, and the bit was not set before. */
  set(index: number): boolean {
    if (index < 0 || index >= this.size || this.has(index)) return false;
    this.#bits[index >> 3] = (this.#bits[index >> 3] ?? 0) | (1 << (index & 7));
    this.#count += 1;
    return true;
  }

  /**
   * The bits from `first`, a multiple of 8, to `end` (exclusive) as a base64 string. The bits in `additional` are also
   * set in the string, but not in this bitmap.
   */
  encode(first: number, end: number, additional: readonly number[] = []): string {
    const bytes = Buffer.from(this.#bits.subarray(first / 8, Math.ceil(end / 8)));
    for (const index of additional) {
      const byte = (index - first) >> 3;
      bytes[byte] = (bytes[byte] ?? 0) | (1 << (index & 7));
    }
    return bytes.toString('base64');
  }

  /** Sets the bits set in a base64 string whose first bit is bit `first` of the bitmap; returns newly set indexes. */
  merge(first: number, encoded: string): number[] {
    const bytes = Buffer.from(encoded, 'base64');
    const added: number[] = [];
    for (let byte = 0; byte < bytes.length; byte += 1) {
      const value = bytes[byte] ?? 0;
      for (let bit = 0; value >> bit !== 0; bit += 1) {
        const index = first + byte * 8 + bit;
        if ((value >> bit) & 1 && this.set(index)) added.push(index);
      }
    }
    return added;
  }
}
