/**
 * @file Entry point: loads the program with the build's code cache. Without the cache, compiling took a third of each
 * start, and with a small CPU quota a start takes seconds (docs/PERFORMANCE.md). The cache contains only code, no state of
 * the build. The runtime rejects a cache of another version, other sources or other flags, and then compiles as usual.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire, wrap } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';
import type * as Program from './cli/program';

const PROGRAM_FILE = join(__dirname, 'program.js');
const CODE_CACHE_FILE = join(__dirname, 'program.code');
/** The argument with which the build runs this file to write the code cache. */
const WRITE_CACHE_ARGUMENT = 'keep-code';

/** The parameters with which the runtime calls a wrapped module. */
type ModuleParameters = [
  exports: object,
  require: NodeJS.Require,
  module: object,
  file: string,
  directory: string,
];

function readCodeCache(): Buffer | undefined {
  try {
    return readFileSync(CODE_CACHE_FILE);
  } catch {
    return undefined;
  }
}

function compile(cachedData: Buffer | undefined): Script {
  const source = wrap(readFileSync(PROGRAM_FILE, 'utf8'));
  return new Script(source, { filename: PROGRAM_FILE, ...(cachedData && { cachedData }) });
}

function load(script: Script): typeof Program {
  const loaded = { exports: {} as typeof Program };
  const run = script.runInThisContext() as (...parameters: ModuleParameters) => void;
  run(loaded.exports, createRequire(PROGRAM_FILE), loaded, PROGRAM_FILE, __dirname);
  return loaded.exports;
}

function writeCodeCache(): void {
  const script = compile(undefined);
  // The code cache contains only functions compiled before, so `createProgram` runs first. Others compile when called.
  load(script).createProgram();
  writeFileSync(CODE_CACHE_FILE, script.createCachedData());
}

function start(): void {
  const codeCache = readCodeCache();
  const script = compile(codeCache);
  const isRejected = script.cachedDataRejected === true;
  const code = codeCache === undefined ? 'none' : isRejected ? 'refused' : 'used';
  void load(script).main(process.argv, code);
}

if (process.argv[2] === WRITE_CACHE_ARGUMENT) writeCodeCache();
else start();
