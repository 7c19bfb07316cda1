/** @file A list of numbers that takes few bytes for each. */

const MIN_CAPACITY = 4;
/** A full list grows by this part of its length. */
const GROWTH_DIVISOR = 2;

/** An unordered list of integers from 0 to 2^32-1, with four to six bytes for each. */
export class NumberList {
  #items = new Uint32Array(0);
  #length = 0;

  /** How many numbers the list has. */
  get length(): number {
    return this.#length;
  }

  /** The numbers; the view is valid until the list changes. */
  get items(): Uint32Array {
    return this.#items.subarray(0, this.#length);
  }

  /** Adds a number. */
  push(item: number): void {
    if (this.#length === this.#items.length) this.#grow();
    this.#items[this.#length] = item;
    this.#length += 1;
  }

  /** Removes the number once, if the list has it; the last number takes its place. */
  remove(item: number): void {
    const index = this.items.indexOf(item);
    if (index < 0) return;
    this.#length -= 1;
    this.#items[index] = this.#items[this.#length] ?? 0;
  }

  /** Removes all numbers. */
  clear(): void {
    this.#items = new Uint32Array(0);
    this.#length = 0;
  }

  #grow(): void {
    const capacity = this.#length + Math.max(MIN_CAPACITY, Math.floor(this.#length / GROWTH_DIVISOR));
    const grown = new Uint32Array(capacity);
    grown.set(this.#items);
    this.#items = grown;
  }
}
