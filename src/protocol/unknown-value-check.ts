/** @file Checks the values of unknown fields, which are skipped and never decoded. */
import { isUtf8 } from 'node:buffer';
import { MalformedMessageError } from './decoded-size';
import type { Format, MessagePackReader } from './message-pack-reader';

/** The deepest nesting in an unknown field: more than a message of 64 KiB can have. */
const MAX_SKIPPED_DEPTH = 64 * 1024;

/** Throws `MalformedMessageError` unless the bytes are valid UTF-8, or other text is accepted. */
export function checkText(bytes: Uint8Array, acceptsInvalidText: boolean): void {
  if (!acceptsInvalidText && !isUtf8(bytes)) throw new MalformedMessageError('text that is not valid UTF-8');
}

/**
 * Checks one value as the protocols use them (text keys, valid UTF-8, nothing binary), however many values it has inside:
 * it takes no memory but a number for each list or map that is open. It is not recursive, since the nesting is not bounded.
 */
export class UnknownValueCheck {
  /** The number of values that are left in each open list or map; a map has two for each entry. */
  readonly #valuesLeft: number[] = [];
  readonly #areMaps: boolean[] = [];

  constructor(
    private readonly reader: MessagePackReader,
    private readonly acceptsInvalidText: boolean,
  ) {}

  /** Checks the value at the reader's position, and moves the reader behind it. */
  checkValue(): void {
    do {
      const isKey = this.#isAtKey();
      this.#countValue();
      const format = this.reader.readFormat();
      if (isKey && format.kind !== 'text') throw new MalformedMessageError('a map key that is not text');
      this.#checkContent(format);
      this.#closeComplete();
    } while (this.#valuesLeft.length > 0);
  }

  #isAtKey(): boolean {
    return this.#areMaps.at(-1) === true && (this.#valuesLeft.at(-1) ?? 0) % 2 === 0;
  }

  #countValue(): void {
    const open = this.#valuesLeft.length - 1;
    if (open >= 0) this.#valuesLeft[open] = (this.#valuesLeft[open] ?? 0) - 1;
  }

  #checkContent(format: Format): void {
    switch (format.kind) {
      case 'small value':
        return;
      case 'number':
        this.reader.skip(format.length);
        return;
      case 'text':
        this.#checkText(this.reader.readLength(format));
        return;
      case 'list':
        this.#open(this.reader.readLength(format), false);
        return;
      case 'map':
        this.#open(2 * this.reader.readLength(format), true);
        return;
      case 'unsupported':
        throw new MalformedMessageError('a type that the protocol does not use');
    }
  }

  #checkText(length: number): void {
    const from = this.reader.skip(length);
    checkText(this.reader.message.subarray(from, from + length), this.acceptsInvalidText);
  }

  /** Each value takes a byte at least. */
  #open(values: number, isMap: boolean): void {
    this.reader.checkFollows(values);
    if (this.#valuesLeft.length === MAX_SKIPPED_DEPTH) throw new MalformedMessageError('nested too deeply');
    this.#valuesLeft.push(values);
    this.#areMaps.push(isMap);
  }

  #closeComplete(): void {
    while (this.#valuesLeft.at(-1) === 0) {
      this.#valuesLeft.pop();
      this.#areMaps.pop();
    }
  }
}
