/** @file Checks protobuf messages before they are decoded, with the same bounds as MessagePack. */
import * as protobuf from 'protobufjs';
import { DecodedSize, MalformedMessageError, MAX_DEPTH } from './decoded-size';

/** Estimated heap of a message and of one of its fields in bytes: the decoded object and the copy with default values. */
const MESSAGE_BYTES = 80;
const FIELD_BYTES = 16;
/** A repeated number that is packed takes a byte at least. */
const PACKED_NUMBER_BYTES = 8;

const TAG_TYPE_BITS = 3;
const TAG_TYPE_MASK = 7;
const LENGTH_DELIMITED = 2;
const GROUP_START = 3;
const GROUP_END = 4;

/** Throws `MalformedMessageError` unless the bytes are a message of the type, within the bounds of `decoded-size.ts`. */
export function checkProtobuf(message: Uint8Array, type: protobuf.Type): void {
  try {
    new ProtobufCheck(message).checkMessage(type, message.length, 0);
  } catch (error) {
    // The reader throws `RangeError` at the end of the bytes.
    if (error instanceof RangeError)
      throw new MalformedMessageError('a length exceeds the bytes that follow');
    throw error;
  }
}

class ProtobufCheck {
  readonly #reader: protobuf.Reader;
  readonly #size: DecodedSize;

  constructor(private readonly message: Uint8Array) {
    this.#reader = protobuf.Reader.create(message);
    this.#size = new DecodedSize(message.length);
  }

  checkMessage(type: protobuf.Type, end: number, depth: number): void {
    if (depth > MAX_DEPTH) throw new MalformedMessageError('nested too deeply');
    this.#size.add(MESSAGE_BYTES + FIELD_BYTES * type.fieldsArray.length);
    while (this.#reader.pos < end) this.#checkField(type, end, depth);
    this.#checkWithin(end);
  }

  #checkField(type: protobuf.Type, end: number, depth: number): void {
    const tag = this.#reader.uint32();
    const wireType = tag & TAG_TYPE_MASK;
    if (wireType === GROUP_START || wireType === GROUP_END) {
      throw new MalformedMessageError('a type that the protocol does not use');
    }
    if (wireType !== LENGTH_DELIMITED) {
      this.#reader.skipType(wireType);
      this.#size.add(PACKED_NUMBER_BYTES);
      return;
    }
    const length = this.#reader.uint32();
    const fieldEnd = this.#reader.pos + length;
    if (fieldEnd > end) throw new MalformedMessageError('a length exceeds the bytes that follow');
    this.#checkContent(type.fieldsById[tag >>> TAG_TYPE_BITS], fieldEnd, depth);
    this.#reader.pos = fieldEnd;
  }

  /** Checks a length-delimited field. Unknown ones, of later versions, are skipped by the decoder. */
  #checkContent(field: protobuf.Field | undefined, end: number, depth: number): void {
    if (!field) return;
    const from = this.#reader.pos;
    if (field.resolve().resolvedType instanceof protobuf.Type) {
      this.checkMessage(field.resolvedType as protobuf.Type, end, depth + 1);
    } else if (field.type === 'string') this.#size.addText(this.message, from, end);
    else if (field.type !== 'bytes') this.#size.add(PACKED_NUMBER_BYTES * (end - from));
  }

  #checkWithin(end: number): void {
    if (this.#reader.pos > end) throw new MalformedMessageError('a length exceeds the bytes that follow');
  }
}
