/** @file Removes the unknown fields of a message, so that the decoder makes nothing of them. */
import type { Fields } from './message-fields';
import { MessagePackReader, type Format } from './message-pack-reader';

const MAX_FIXED_MAP = 0x8f;
const FIXED_MAP = 0x80;
const BITS_PER_BYTE = 8;

/** The message without its unknown fields. The message must have passed the check. */
export function withoutUnknownFields(message: Uint8Array, fields: Fields): Uint8Array {
  return new KnownFieldsCopy(message).copy(fields);
}

class KnownFieldsCopy {
  readonly #reader: MessagePackReader;
  readonly #copied: Uint8Array;
  #length = 0;

  constructor(private readonly message: Uint8Array) {
    this.#reader = new MessagePackReader(message);
    this.#copied = new Uint8Array(message.length);
  }

  copy(fields: Fields): Uint8Array {
    this.#copyValue(fields);
    return this.#copied.subarray(0, this.#length);
  }

  #copyValue(fields: Fields | undefined): void {
    const from = this.#reader.position;
    if (!fields) {
      this.#skipValue();
      this.#copyFrom(from);
      return;
    }
    const format = this.#reader.readFormat();
    if (format.kind === 'list') this.#copyList(from, this.#reader.readLength(format), fields);
    else if (format.kind === 'map') this.#copyMap(from, this.#reader.readLength(format), fields);
    else {
      this.#skipContent(format);
      this.#copyFrom(from);
    }
  }

  #copyList(from: number, items: number, fields: Fields): void {
    this.#copyFrom(from);
    for (let item = 0; item < items; item += 1) this.#copyValue(fields);
  }

  /** Copies the known entries, with the length of the map's head as it was, and their number in it. */
  #copyMap(from: number, entries: number, fields: Fields): void {
    const headFrom = this.#length;
    this.#copyFrom(from);
    const headEnd = this.#length;
    let known = 0;
    for (let entry = 0; entry < entries; entry += 1) {
      const keyFrom = this.#reader.position;
      const textFrom = this.#reader.skipKey();
      const field = fields.find(this.message, textFrom, this.#reader.position);
      if (field) {
        this.#copyFrom(keyFrom);
        this.#copyValue(field.fields);
        known += 1;
      } else {
        this.#skipValue();
      }
    }
    this.#writeCount(known, headFrom, headEnd);
  }

  #writeCount(count: number, headFrom: number, headEnd: number): void {
    if ((this.#copied[headFrom] ?? 0) <= MAX_FIXED_MAP) {
      this.#copied[headFrom] = FIXED_MAP + count;
      return;
    }
    let left = count;
    for (let index = headEnd - 1; index > headFrom; index -= 1) {
      this.#copied[index] = left % (1 << BITS_PER_BYTE);
      left >>>= BITS_PER_BYTE;
    }
  }

  #copyFrom(from: number): void {
    this.#copied.set(this.message.subarray(from, this.#reader.position), this.#length);
    this.#length += this.#reader.position - from;
  }

  #skipValue(): void {
    for (let values = 1; values > 0; values -= 1) {
      const format = this.#reader.readFormat();
      if (format.kind === 'list') values += this.#reader.readLength(format);
      else if (format.kind === 'map') values += 2 * this.#reader.readLength(format);
      else this.#skipContent(format);
    }
  }

  #skipContent(format: Format): void {
    if (format.kind === 'number') this.#reader.skip(format.length);
    else if (format.kind === 'text') this.#reader.skip(this.#reader.readLength(format));
  }
}
