/**
 * @file Checks MessagePack before it is decoded. The decoder allocates lists by their declared lengths, so that a few
 * hundred bytes of nested lists fill the heap; the check trusts a length only as far as bytes follow.
 */
import { DecodedSize, MalformedMessageError, MAX_DEPTH, TEXT_BYTES } from './decoded-size';
import type { Fields } from './message-fields';
import { MessagePackReader, type Format } from './message-pack-reader';
import { checkText, UnknownValueCheck } from './unknown-value-check';

/** Estimated heap of values in bytes, as V8 lays them out. */
const LIST_BYTES = 48;
const LIST_ITEM_BYTES = 8;
const MAP_BYTES = 64;
/** An entry without the text of its key; large maps are hash tables, a third of which is in use. */
const MAP_ENTRY_BYTES = 64;
const NUMBER_BYTES = 16;

const INTEGER_64_BYTES = 8;
const FORMAT_UINT_64 = 0xcf;
const FORMAT_INT_64 = 0xd3;
/** The highest byte but one of 2^53: an integer of 64 bits is at least as large if this or the byte before it says so. */
const FIRST_UNSAFE_BYTE = 0x20;

/** How a message is checked. */
export interface CheckOptions {
  /** Whether text that is not valid UTF-8 is accepted. */
  readonly acceptsInvalidText: boolean;
  /** The known fields of the message; undefined: all fields are known. */
  readonly fields: Fields | undefined;
}

/** What a check found in a valid message. */
export interface CheckedMessage {
  /** Whether the message has unknown fields, which are not to be decoded. */
  readonly hasUnknownFields: boolean;
  /** Whether a known field has an integer of 2^53 or more, which a number doesn't hold exactly. */
  readonly hasLargeIntegers: boolean;
}

/**
 * Throws `MalformedMessageError` unless the bytes are exactly one value as the protocols use them: text keys, valid UTF-8,
 * nothing binary, and what is to be decoded within the bounds of `decoded-size.ts`.
 */
export function checkMessagePack(message: Uint8Array, options: CheckOptions): CheckedMessage {
  const check = new MessagePackCheck(message, options.acceptsInvalidText);
  check.checkValue(0, options.fields);
  check.checkEnd();
  return check;
}

class MessagePackCheck implements CheckedMessage {
  hasUnknownFields = false;
  hasLargeIntegers = false;
  readonly #reader: MessagePackReader;
  readonly #size: DecodedSize;

  constructor(
    private readonly message: Uint8Array,
    private readonly acceptsInvalidText: boolean,
  ) {
    this.#reader = new MessagePackReader(message);
    this.#size = new DecodedSize(message.length, acceptsInvalidText);
  }

  checkEnd(): void {
    if (!this.#reader.isAtEnd) throw new MalformedMessageError('bytes follow the message');
  }

  /** Checks a value that is to be decoded, of which the given fields are known. */
  checkValue(depth: number, fields: Fields | undefined): void {
    const format = this.#reader.readFormat();
    switch (format.kind) {
      case 'small value':
        return;
      case 'number':
        this.#checkNumber(format);
        return;
      case 'text':
        this.#checkText(format);
        return;
      case 'list':
        this.#checkList(this.#reader.readLength(format), depth + 1, fields);
        return;
      case 'map':
        this.#checkMap(this.#reader.readLength(format), depth + 1, fields);
        return;
      case 'unsupported':
        throw new MalformedMessageError('a type that the protocol does not use');
    }
  }

  #checkNumber({ length }: Format): void {
    const from = this.#reader.skip(length);
    this.#size.add(NUMBER_BYTES);
    if (length === INTEGER_64_BYTES && this.#isLargeInteger(from)) this.hasLargeIntegers = true;
  }

  /** Whether the eight bytes from this position are an integer of 2^53 or more. */
  #isLargeInteger(from: number): boolean {
    const format = this.message[from - 1];
    if (format !== FORMAT_UINT_64 && format !== FORMAT_INT_64) return false;
    const highest = this.message[from] ?? 0;
    const isNegative = format === FORMAT_INT_64 && highest >= 0x80;
    return !isNegative && (highest > 0 || (this.message[from + 1] ?? 0) >= FIRST_UNSAFE_BYTE);
  }

  #checkText(format: Format): void {
    const length = this.#reader.readLength(format);
    const from = this.#reader.skip(length);
    this.#size.addText(this.message, from, from + length);
  }

  #checkList(items: number, depth: number, fields: Fields | undefined): void {
    this.#checkContainer(items, depth);
    this.#size.add(LIST_BYTES + LIST_ITEM_BYTES * items);
    for (let item = 0; item < items; item += 1) this.checkValue(depth, fields);
  }

  #checkMap(entries: number, depth: number, fields: Fields | undefined): void {
    this.#checkContainer(2 * entries, depth);
    this.#size.add(MAP_BYTES);
    for (let entry = 0; entry < entries; entry += 1) {
      if (fields) this.#checkEntry(depth, fields);
      else this.#checkKnownEntry(depth, undefined);
    }
  }

  /** Checks an entry of a map of which only some fields are known. */
  #checkEntry(depth: number, fields: Fields): void {
    const from = this.#reader.skipKey();
    const field = fields.find(this.message, from, this.#reader.position);
    if (field) {
      this.#size.add(MAP_ENTRY_BYTES + TEXT_BYTES + field.bytes.length);
      this.checkValue(depth, field.fields);
      return;
    }
    this.hasUnknownFields = true;
    checkText(this.message.subarray(from, this.#reader.position), this.acceptsInvalidText);
    new UnknownValueCheck(this.#reader, this.acceptsInvalidText).checkValue();
  }

  #checkKnownEntry(depth: number, fields: Fields | undefined): void {
    this.#size.add(MAP_ENTRY_BYTES);
    this.#checkKey();
    this.checkValue(depth, fields);
  }

  /** Each value takes a byte at least. */
  #checkContainer(values: number, depth: number): void {
    if (depth > MAX_DEPTH) throw new MalformedMessageError('nested too deeply');
    this.#reader.checkFollows(values);
  }

  #checkKey(): void {
    const format = this.#reader.readFormat();
    if (format.kind !== 'text') throw new MalformedMessageError('a map key that is not text');
    this.#checkText(format);
  }
}
