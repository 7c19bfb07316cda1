import { readFileSync, writeFileSync } from 'node:fs';
import { createRequire, wrap } from 'node:module';
import { join } from 'node:path';
import { Script } from 'node:vm';
import type * as Program from './cli/program';

/**
 * Starts the program with the code that was compiled when it was built: compiling it anew took a third of each start,
 * and on a small quota starts last seconds (docs/PERFORMANCE.md). Nothing but code is kept, no state of the build. The
 * runtime refuses what it did not make itself, for these very sources and flags, and then compiles as ever.
 */
const PROGRAM = join(__dirname, 'program.js');
const KEPT = join(__dirname, 'program.code');
const KEEP = 'keep-code';

function keptCode(): Buffer | undefined {
  try {
    return readFileSync(KEPT);
  } catch {
    return undefined;
  }
}

type Wrapped = (exports: object, require: NodeJS.Require, module: object, file: string, dir: string) => void;

const keeps = process.argv[2] === KEEP;
const cachedData = keeps ? undefined : keptCode();
const script = new Script(wrap(readFileSync(PROGRAM, 'utf8')), {
  filename: PROGRAM,
  ...(cachedData && { cachedData }),
});
const loaded = { exports: {} as typeof Program };
const run = script.runInThisContext() as Wrapped;
run(loaded.exports, createRequire(PROGRAM), loaded, PROGRAM, __dirname);

if (keeps) {
  // What ran until here is compiled by now, and kept; the rest follows as it is needed.
  loaded.exports.createProgram();
  writeFileSync(KEPT, script.createCachedData());
} else {
  const code = cachedData === undefined ? 'none' : script.cachedDataRejected === true ? 'refused' : 'used';
  void loaded.exports.main(process.argv, code);
}
