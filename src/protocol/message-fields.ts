/** @file The fields of a message that its schema knows. A receiver ignores all others, so they are never decoded. */
import * as z from 'zod';

/**
 * The known fields of a map, or of the maps in a list, each with those of its value. A value without known fields of its
 * own (undefined) is kept whole.
 */
export type Fields = ReadonlyMap<string, Fields | undefined>;

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
    return new Map(Object.entries(shape).map(([name, value]) => [name, fieldsOf(value)]));
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
  for (const fields of kinds) {
    if (!fields) return undefined;
    for (const [name, inner] of fields) {
      merged.set(name, merged.has(name) ? mergeFields(merged.get(name), inner) : inner);
    }
  }
  return merged;
}
