/**
 * @file Schemas for values from outside. A schema of the library collects every problem of a value, each as an object, and
 * writes all of them into the text of an error; these stop at the first one, however many items a list or map has.
 */
import * as z from 'zod';
import { isUint64, type Uint64 } from '../base/uint64';
import { decodeMessagePack } from './codec';
import { MalformedMessageError } from './decoded-size';
import { markList, type Fields } from './message-fields';

const INVALID = 'invalid';

/** Longest name of a machine, in bytes: it is a key after `live/machine/`, and keys have up to 200 bytes and no spaces. */
const MAX_MACHINE_NAME_BYTES = 187;

/** The name of a machine. */
export const machineName = z
  .string()
  .regex(/^\S+$/)
  .refine((name) => Buffer.byteLength(name) <= MAX_MACHINE_NAME_BYTES, 'too long');

/** A name of any length; an empty one names nothing. */
export const text = z.string().min(1);

/** A count, version, token or attempt: an integer from 0 to 2^64-1, which stays exact. */
export const uint64 = z.custom<Uint64>(isUint64, 'expected an integer from 0 to 2^64-1');

/** The result of reading a value with a schema. */
export type Parsed<T> =
  | { readonly ok: true; readonly value: T }
  /** The first problem, with the field that has it. */
  | { readonly ok: false; readonly problem: string };

/** A list of items; stops at the first item that is invalid. */
export function listOf<T>(item: z.ZodType<T>): z.ZodType<T[]> {
  const list = z.unknown().transform((value, context) => {
    if (!Array.isArray(value)) return refuse(context, 'expected a list');
    const items: T[] = [];
    for (const [index, raw] of value.entries()) {
      const parsed = item.safeParse(raw);
      if (!parsed.success) return refuseItem(context, index, parsed.error);
      items.push(parsed.data);
    }
    return items;
  });
  return markList(list, item);
}

/** A map from texts to values; stops at the first value that is invalid. */
export function mapOf<T>(schema: z.ZodType<T>): z.ZodType<Record<string, T>> {
  return z.unknown().transform((value, context) => {
    if (!isMap(value)) return refuse(context, 'expected a map');
    const entries: [string, T][] = [];
    for (const [key, raw] of Object.entries(value)) {
      const parsed = schema.safeParse(raw);
      if (!parsed.success) return refuseItem(context, key, parsed.error);
      entries.push([key, parsed.data]);
    }
    return Object.fromEntries(entries);
  });
}

/** Reads a decoded value with a schema. */
export function parseValue<T>(schema: z.ZodType<T>, value: unknown): Parsed<T> {
  const parsed = schema.safeParse(value);
  return parsed.success ? { ok: true, value: parsed.data } : { ok: false, problem: problemOf(parsed.error) };
}

/** Decodes a message that must be a map, without the fields that are unknown. */
export function decodeMap(bytes: Uint8Array, fields: Fields | undefined): Parsed<Record<string, unknown>> {
  try {
    const value = decodeMessagePack(bytes, { acceptsInvalidText: false, fields });
    return isMap(value) ? { ok: true, value } : { ok: false, problem: 'the body is not a map' };
  } catch (error) {
    return { ok: false, problem: `not MessagePack: ${reasonOf(error)}` };
  }
}

/** Why a message could not be decoded, as one of a few texts. */
export function reasonOf(error: unknown): string {
  return error instanceof MalformedMessageError ? error.reason : 'undecodable';
}

function isMap(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function refuse(context: z.RefinementCtx, message: string): never {
  context.issues.push({ code: 'custom', message, input: undefined });
  return z.NEVER;
}

function refuseItem(context: z.RefinementCtx, key: PropertyKey, error: z.ZodError): never {
  const [issue] = error.issues;
  const path = [key, ...(issue?.path ?? [])];
  context.issues.push({ code: 'custom', message: issue?.message ?? INVALID, input: undefined, path });
  return z.NEVER;
}

function problemOf(error: z.ZodError): string {
  const [issue] = error.issues;
  const message = issue?.message ?? INVALID;
  return issue?.path.length ? `${issue.path.join('.')}: ${message}` : message;
}
