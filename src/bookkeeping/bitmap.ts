/** @file A bitmap of a job's completed tasks. */

/** Shortest non-empty array of bits, in bytes. */
const MIN_BYTES = 16;

/**
 * The completed tasks of a job, with one bit for each task. Completion records store ranges of these bits. The bitmap
 * takes memory up to the last completed task only.
 */
export class Bitmap {
  /** The bits up to some index; those after it are not set. */
  #bits: Uint8Array = new Uint8Array(0);
  #count = 0;

  constructor(readonly size: number) {}

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
    this.#growTo(index >> 3);
    this.#bits[index >> 3] = (this.#bits[index >> 3] ?? 0) | (1 << (index & 7));
    this.#count += 1;
    return true;
  }

  #growTo(byte: number): void {
    if (byte < this.#bits.length) return;
    const wanted = Math.max(MIN_BYTES, byte + 1, 2 * this.#bits.length);
    const grown = new Uint8Array(Math.min(wanted, Math.ceil(this.size / 8)));
    grown.set(this.#bits);
    this.#bits = grown;
  }

  /**
   * The bits from `first`, a multiple of 8, to `end` (exclusive) as a base64 string. The bits in `additional` are also
   * set in the string, but not in this bitmap.
   */
  encode(first: number, end: number, additional: readonly number[] = []): string {
    const bytes = Buffer.alloc(Math.ceil(end / 8) - first / 8);
    bytes.set(this.#bits.subarray(first / 8, Math.ceil(end / 8)));
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
