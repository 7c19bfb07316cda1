/** @file Reads those tables of the operators' settings file that a single package defines, such as `[admission]`. */
import type * as z from 'zod';
import type { Settings } from './settings';
import { checkSettings, SettingsError } from './settings-schema';

/**
 * Reads and checks a table; undefined when the file does not contain it. `findProblem` checks values that depend on
 * each other, and returns the key at fault with the reason. Throws `SettingsError` with the file and the key.
 */
export function readOperatorTable<T>(
  name: 'admission' | 'suspicion',
  { operator, operatorFile }: Pick<Settings, 'operator' | 'operatorFile'>,
  schema: z.ZodType<T>,
  findProblem: (table: T) => string | undefined,
): T | undefined {
  const value = operator[name];
  if (value === undefined) return undefined;
  const table = checkSettings(schema, value, operatorFile, [name]);
  const problem = findProblem(table);
  if (problem !== undefined) throw new SettingsError(`${operatorFile}: ${name}.${problem}`);
  return table;
}
