/** @file Reads the settings files. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';
import { makeSettings, type Settings } from './settings';
import { SettingsError } from './settings-schema';

/** Reads a text file; `source` is a path, or 0 for standard input. Throws `SettingsError`. */
export function readText(file: string, source: string | 0 = file): string {
  try {
    return readFileSync(source, 'utf8');
  } catch (error) {
    const code = (error as NodeJS.ErrnoException).code ?? 'error';
    throw new SettingsError(`${file}: cannot be read (${code})`, { cause: error });
  }
}

function readToml(file: string): unknown {
  const text = readText(file);
  try {
    return parse(text);
  } catch (error) {
    const line = (error as Error).message.split('\n')[0] ?? '';
    throw new SettingsError(`${file}: not TOML: ${line}`, { cause: error });
  }
}

/** Reads and checks the platform's file, and the operators' file if there is one. Throws `SettingsError`. */
export function readSettings(platformFile: string, operatorFile?: string): Settings {
  const operator = operatorFile === undefined ? {} : readToml(operatorFile);
  return makeSettings(readToml(platformFile), operator, [platformFile, operatorFile ?? 'defaults']);
}
