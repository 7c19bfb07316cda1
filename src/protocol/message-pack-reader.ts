/** @file Reads MessagePack value by value, without decoding it, and trusts a length only as far as bytes follow. */
import { MalformedMessageError } from './decoded-size';

/** What a type byte announces. */
export type FormatKind = 'small value' | 'number' | 'text' | 'list' | 'map' | 'unsupported';

/** The layout of the values that begin with a type byte. */
export interface Format {
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

/** A position in a message, which moves from value to value. */
export class MessagePackReader {
  #position = 0;

  constructor(readonly message: Uint8Array) {}

  get position(): number {
    return this.#position;
  }

  get isAtEnd(): boolean {
    return this.#position === this.message.length;
  }

  /** Reads a type byte. */
  readFormat(): Format {
    this.checkFollows(1);
    const format = FORMATS[this.message[this.#position] ?? 0];
    this.#position += 1;
    return format as Format;
  }

  /** Reads the length that follows a type byte, if it has one. */
  readLength({ lengthBytes, length }: Format): number {
    if (lengthBytes === 0) return length;
    this.checkFollows(lengthBytes);
    let value = 0;
    for (let index = 0; index < lengthBytes; index += 1) {
      value = value * 256 + (this.message[this.#position + index] ?? 0);
    }
    this.#position += lengthBytes;
    return value;
  }

  /** Moves behind a key of a map; returns where its text begins. */
  skipKey(): number {
    const format = this.readFormat();
    if (format.kind !== 'text') throw new MalformedMessageError('a map key that is not text');
    return this.skip(this.readLength(format));
  }

  /** Skips the bytes of a number or text; returns where they begin. */
  skip(bytes: number): number {
    this.checkFollows(bytes);
    const from = this.#position;
    this.#position += bytes;
    return from;
  }

  /** Throws `MalformedMessageError` unless as many bytes follow. */
  checkFollows(bytes: number): void {
    if (bytes > this.message.length - this.#position) {
      throw new MalformedMessageError('a length exceeds the bytes that follow');
    }
  }
}
