/** @file Integers from 0 to 2^64-1, as all counts, versions, tokens and attempts of the protocols are. */

const MAX_UINT64 = 2n ** 64n - 1n;

/**
 * An integer from 0 to 2^64-1: a number up to 2^53-1, a bigint above. Each integer has one form, so that `===` and keys of
 * maps are exact; `<` and `>` compare numbers and bigints exactly, too.
 */
export type Uint64 = number | bigint;

/** The form of an integer as `Uint64`; an integer outside of the range stays as it is. */
export function fromBigInt(value: bigint): Uint64 {
  const isSafe = value >= BigInt(Number.MIN_SAFE_INTEGER) && value <= BigInt(Number.MAX_SAFE_INTEGER);
  return isSafe ? Number(value) : value;
}

/** A copy of a value whose lists and maps have bigints replaced, however deep; bytes stay as they are. */
export function replaceBigInts(value: unknown, replace: (bigint: bigint) => unknown): unknown {
  if (typeof value === 'bigint') return replace(value);
  if (Array.isArray(value)) return value.map((item) => replaceBigInts(item, replace));
  if (typeof value !== 'object' || value === null || ArrayBuffer.isView(value)) return value;
  return Object.fromEntries(
    Object.entries(value).map(([key, inner]) => [key, replaceBigInts(inner, replace)]),
  );
}

/** Whether a decoded value is an integer from 0 to 2^64-1. */
export function isUint64(value: unknown): value is Uint64 {
  if (typeof value === 'bigint') return value >= 0n && value <= MAX_UINT64;
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** The larger of two integers. */
export function maxUint64(first: Uint64, second: Uint64): Uint64 {
  return first > second ? first : second;
}

/** Compares two integers for sorting in ascending order. */
export function compareUint64(first: Uint64, second: Uint64): number {
  if (first === second) return 0;
  return first < second ? -1 : 1;
}
