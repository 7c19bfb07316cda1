import { execFileSync } from 'node:child_process';
import { cpSync } from 'node:fs';
import { join } from 'node:path';
import { extractProduction, PRODUCTION_DIRECTORY } from './extract';

const PARTS = 'test/fakes/controller-parts.ts';

/** Bundles the production version's controller, for tests in which it serves beside the present one. */
function main(): void {
  extractProduction();
  const entry = join(PRODUCTION_DIRECTORY, PARTS);
  cpSync(PARTS, entry);
  execFileSync('npx', [
    ...['esbuild', entry, '--bundle', '--platform=node', '--target=node20', '--loader:.proto=text'],
    ...['--sourcemap', '--log-level=warning', `--outfile=${join(PRODUCTION_DIRECTORY, 'controller.js')}`],
  ]);
}

try {
  main();
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exitCode = 1;
}
