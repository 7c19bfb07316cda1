/** @file The fields of a message that its schema knows. A receiver ignores all others, so they are never decoded. */
import * as z from 'zod';

/** A known field of a map. */
export interface KnownField {
  readonly name: string;
  /** The name as it is in a message. */
  readonly bytes: Uint8Array;
  /** The known fields of the field's value; undefined if the value is kept whole. */
  readonly fields: Fields | undefined;
}

/** The known fields of a map, or of the maps in a list. They are found by the bytes of their names, without texts. */
export class Fields {
  readonly #fieldsByKey = new Map<number, KnownField[]>();

  constructor(readonly all: readonly KnownField[]) {
    for (const field of all) {
      const key = keyOf(field.bytes, 0, field.bytes.length);
      this.#fieldsByKey.set(key, [...(this.#fieldsByKey.get(key) ?? []), field]);
    }
  }

  /** The field whose name stands in a range of the message; undefined if it isn't known. */
  find(message: Uint8Array, from: number, end: number): KnownField | undefined {
    const fields = this.#fieldsByKey.get(keyOf(message, from, end));
    if (!fields) return undefined;
    for (const field of fields) if (isEqual(message, from, end, field.bytes)) return field;
    return undefined;
  }
}

/** A number that is the same for equal names, and for few others: the length, the first and the last byte. */
function keyOf(bytes: Uint8Array, from: number, end: number): number {
  const length = end - from;
  if (length === 0) return 0;
  return (length << 16) | ((bytes[from] ?? 0) << 8) | (bytes[end - 1] ?? 0);
}

function isEqual(message: Uint8Array, from: number, end: number, bytes: Uint8Array): boolean {
  if (end - from !== bytes.length) return false;
  for (let index = 0; index < bytes.length; index += 1) {
    if (message[from + index] !== bytes[index]) return false;
  }
  return true;
}

function createFields(entries: Iterable<[string, Fields | undefined]>): Fields {
  return new Fields([...entries].map(([name, fields]) => ({ name, bytes: Buffer.from(name), fields })));
}

/** The schemas of the items of lists, whose own schema doesn't show it. */
const itemSchemas = new WeakMap<z.ZodType, z.ZodType>();

/** Notes that a schema describes a list of items, and returns it. */
export function markList<T extends z.ZodType>(list: T, item: z.ZodType): T {
  itemSchemas.set(list, item);
  return list;
}

/** The known fields of the messages that a schema describes; undefined if it describes no map. */
export function fieldsOf(schema: z.ZodType): Fields | undefined {
  if (schema instanceof z.ZodObject) {
    const shape = schema.shape as Record<string, z.ZodType>;
    return createFields(Object.entries(shape).map(([name, value]) => [name, fieldsOf(value)]));
  }
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodNullable) {
    return fieldsOf(schema.unwrap() as z.ZodType);
  }
  if (schema instanceof z.ZodUnion) return mergeFields(...(schema.options as z.ZodType[]).map(fieldsOf));
  const item = itemSchemas.get(schema);
  return item && fieldsOf(item);
}

/** The fields that any of several kinds of messages has; undefined if one of them is kept whole. */
export function mergeFields(...kinds: readonly (Fields | undefined)[]): Fields | undefined {
  const merged = new Map<string, Fields | undefined>();
  for (const kind of kinds) {
    if (!kind) return undefined;
    for (const { name, fields } of kind.all) {
      merged.set(name, merged.has(name) ? mergeFields(merged.get(name), fields) : fields);
    }
  }
  return createFields(merged);
}
