/**
 * @file Checks MessagePack before it is decoded. The decoder allocates lists by their declared lengths, so that a few
 * hundred bytes of nested lists fill the heap; the check trusts a length only as far as bytes follow.
 */
import { DecodedSize, MalformedMessageError, MAX_DEPTH } from './decoded-size';

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

/** What a type byte announces. */
type FormatKind = 'small value' | 'number' | 'text' | 'list' | 'map' | 'unsupported';

/** The layout of the values that begin with a type byte. */
interface Format {
  readonly kind: FormatKind;
  /** Bytes of the length that follows the type byte; 0: `length` is the length. */
  readonly lengthBytes: number;
  /** Bytes of a number or text, items of a list, entries of a map. */
  readonly length: number;
}

/** The formats by type byte, after the MessagePack specification. */
const FORMATS = createFormats();

function createFormats(): readonly Format[] {
  const formats: Format[] = [];
  const set = (from: number, to: number, format: Format): void => {
    formats.fill(format, from, to + 1);
  };
  const setByLength = (from: number, to: number, kind: FormatKind): void => {
    for (let byte = from; byte <= to; byte += 1)
      set(byte, byte, { kind, lengthBytes: 0, length: byte - from });
  };
  const setWithLengths = (from: number, kind: FormatKind, lengthBytes: readonly number[]): void => {
    lengthBytes.forEach((bytes, index) => {
      set(from + index, from + index, { kind, lengthBytes: bytes, length: 0 });
    });
  };
  const setNumbers = (from: number, lengths: readonly number[]): void => {
    lengths.forEach((length, index) => {
      set(from + index, from + index, { kind: 'number', lengthBytes: 0, length });
    });
  };
  const smallValue: Format = { kind: 'small value', lengthBytes: 0, length: 0 };
  formats.length = 256;
  set(0x00, 0xff, { kind: 'unsupported', lengthBytes: 0, length: 0 });
  set(0x00, 0x7f, smallValue);
  setByLength(0x80, 0x8f, 'map');
  setByLength(0x90, 0x9f, 'list');
  setByLength(0xa0, 0xbf, 'text');
  set(0xc0, 0xc0, smallValue);
  set(0xc2, 0xc3, smallValue);
  setNumbers(0xca, [4, 8]);
  setNumbers(0xcc, [1, 2, 4, 8]);
  setNumbers(0xd0, [1, 2, 4, 8]);
  setWithLengths(0xd9, 'text', [1, 2, 4]);
  setWithLengths(0xdc, 'list', [2, 4]);
  setWithLengths(0xde, 'map', [2, 4]);
  set(0xe0, 0xff, smallValue);
  return formats;
}

/**
 * Throws `MalformedMessageError` unless the bytes are exactly one value as the protocols use them: text keys, valid UTF-8,
 * nothing binary, within the bounds of `decoded-size.ts`. Allocates nothing that depends on the message. Returns whether
 * the message has an integer of 2^53 or more, which a number doesn't hold exactly.
 */
export function checkMessagePack(message: Uint8Array, acceptsInvalidText = false): boolean {
  const check = new MessagePackCheck(message, acceptsInvalidText);
  check.checkValue(0);
  check.checkEnd();
  return check.hasLargeIntegers;
}

class MessagePackCheck {
  hasLargeIntegers = false;
  #position = 0;
  readonly #size: DecodedSize;

  constructor(
    private readonly message: Uint8Array,
    acceptsInvalidText: boolean,
  ) {
    this.#size = new DecodedSize(message.length, acceptsInvalidText);
  }

  checkEnd(): void {
    if (this.#position < this.message.length) throw new MalformedMessageError('bytes follow the message');
  }

  checkValue(depth: number): void {
    const format = this.#readFormat();
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
        this.#checkList(this.#readLength(format), depth + 1);
        return;
      case 'map':
        this.#checkMap(this.#readLength(format), depth + 1);
        return;
      case 'unsupported':
        throw new MalformedMessageError('a type that the protocol does not use');
    }
  }

  #checkNumber({ length }: Format): void {
    const from = this.#position;
    this.#skip(length);
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
    const length = this.#readLength(format);
    const from = this.#position;
    this.#skip(length);
    this.#size.addText(this.message, from, this.#position);
  }

  #checkList(items: number, depth: number): void {
    this.#checkContainer(items, depth);
    this.#size.add(LIST_BYTES + LIST_ITEM_BYTES * items);
    for (let item = 0; item < items; item += 1) this.checkValue(depth);
  }

  #checkMap(entries: number, depth: number): void {
    this.#checkContainer(2 * entries, depth);
    this.#size.add(MAP_BYTES + MAP_ENTRY_BYTES * entries);
    for (let entry = 0; entry < entries; entry += 1) {
      this.#checkKey();
      this.checkValue(depth);
    }
  }

  /** Each value takes a byte at least. */
  #checkContainer(values: number, depth: number): void {
    if (depth > MAX_DEPTH) throw new MalformedMessageError('nested too deeply');
    this.#checkFollows(values);
  }

  #checkKey(): void {
    const format = this.#readFormat();
    if (format.kind !== 'text') throw new MalformedMessageError('a map key that is not text');
    this.#checkText(format);
  }

  #readFormat(): Format {
    this.#checkFollows(1);
    const format = FORMATS[this.message[this.#position] ?? 0];
    this.#position += 1;
    return format as Format;
  }

  #readLength({ lengthBytes, length }: Format): number {
    if (lengthBytes === 0) return length;
    this.#checkFollows(lengthBytes);
    let value = 0;
    for (let index = 0; index < lengthBytes; index += 1) {
      value = value * 256 + (this.message[this.#position + index] ?? 0);
    }
    this.#position += lengthBytes;
    return value;
  }

  #skip(bytes: number): void {
    this.#checkFollows(bytes);
    this.#position += bytes;
  }

  #checkFollows(bytes: number): void {
    if (bytes > this.message.length - this.#position) {
      throw new MalformedMessageError('a length exceeds the bytes that follow');
    }
  }
}
