/**
 * @file Starts the program with the code that was compiled when it was built: compiling it anew took a third of each
 * start, and on a small quota starts last seconds (docs/PERFORMANCE.md). Only code is kept, no state of the build. The
 * runtime rejects what it did not make itself, for these very sources and flags, and then compiles as usual.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire, wrap } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';
import type * as Program from './cli/program';

const PROGRAM_FILE = join(__dirname, 'program.js');
const CODE_FILE = join(__dirname, 'program.code');
/** The argument with which the build has the code compiled and kept. */
const KEEP_CODE = 'keep-code';

/** The parameters with which the runtime calls a wrapped module. */
type ModuleParameters = [
  exports: object,
  require: NodeJS.Require,
  module: object,
  file: string,
  directory: string,
];

function readKeptCode(): Buffer | undefined {
  try {
    return readFileSync(CODE_FILE);
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

function keepCode(): void {
  const script = compile(undefined);
  // What ran until here is compiled by then, and kept; the rest is compiled as it is needed.
  load(script).createProgram();
  writeFileSync(CODE_FILE, script.createCachedData());
}

function start(): void {
  const keptCode = readKeptCode();
  const script = compile(keptCode);
  const isRejected = script.cachedDataRejected === true;
  const code = keptCode === undefined ? 'none' : isRejected ? 'refused' : 'used';
  void load(script).main(process.argv, code);
}

if (process.argv[2] === KEEP_CODE) keepCode();
else start();
