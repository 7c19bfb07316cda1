/** @file The bounds on what a message may become when it is decoded: its memory, its nesting, and the form of its text. */
import { isUtf8 } from 'node:buffer';

/**
 * The heap that a decoded message may take, in bytes per byte of the message. Heartbeats, submissions, pages of records
 * and peer heartbeats take up to ten. Unknown fields aren't decoded and take nothing.
 */
export const MAX_DECODED_BYTES_PER_BYTE = 16;
/** Shorter messages may take as much as one of this length, that of the longest request. */
export const MIN_MESSAGE_BYTES = 64 * 1024;
/** The deepest nesting of lists and maps. The protocols' messages have up to eight levels. */
export const MAX_DEPTH = 32;

/** Estimated heap of a text apart from its characters, in bytes. */
export const TEXT_BYTES = 24;

const FIRST_NON_ASCII_BYTE = 0x80;
const BYTES_PER_WIDE_CHARACTER = 2;

/** A message that the protocol doesn't allow. Its reason is one of a few fixed texts, so that refusals can be counted. */
export class MalformedMessageError extends Error {
  override name = 'MalformedMessageError';
  constructor(readonly reason: RefusalReason) {
    super(reason);
  }
}

/** Why a message is refused before it is decoded. */
export type RefusalReason =
  | 'a length exceeds the bytes that follow'
  | 'bytes follow the message'
  | 'nested too deeply'
  | 'too many values for its length'
  | 'text that is not valid UTF-8'
  | 'a map key that is not text'
  | 'a type that the protocol does not use';

/** Adds up the estimated heap of a message's values while the message is checked, before anything is allocated for them. */
export class DecodedSize {
  #remainingBytes: number;

  constructor(
    messageBytes: number,
    /** Whether text that is not valid UTF-8 is accepted. */
    private readonly acceptsInvalidText = false,
  ) {
    this.#remainingBytes = MAX_DECODED_BYTES_PER_BYTE * Math.max(messageBytes, MIN_MESSAGE_BYTES);
  }

  /** Adds a value; throws `MalformedMessageError` when the message exceeds its bound. */
  add(bytes: number): void {
    this.#remainingBytes -= bytes;
    if (this.#remainingBytes < 0) throw new MalformedMessageError('too many values for its length');
  }

  /** Adds the text in a range of the message; throws `MalformedMessageError` when it isn't valid UTF-8, unless accepted. */
  addText(message: Uint8Array, from: number, end: number): void {
    if (isAscii(message, from, end)) {
      this.add(TEXT_BYTES + end - from);
      return;
    }
    if (!this.acceptsInvalidText && !isUtf8(message.subarray(from, end))) {
      throw new MalformedMessageError('text that is not valid UTF-8');
    }
    this.add(TEXT_BYTES + BYTES_PER_WIDE_CHARACTER * (end - from));
  }
}

function isAscii(message: Uint8Array, from: number, end: number): boolean {
  for (let index = from; index < end; index += 1) {
    if ((message[index] ?? 0) >= FIRST_NON_ASCII_BYTE) return false;
  }
  return true;
}
