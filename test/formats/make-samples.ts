import { execFileSync } from 'node:child_process';
import { cpSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { extractProduction, PRODUCTION_DIRECTORY } from '../production/extract';

const SAMPLES_FILE = 'test/data/production-formats.json';
const FORMATS = 'test/formats';

/** Runs the scenario with the sources of the production version, and keeps what its controllers wrote as test data. */
function main(): void {
  extractProduction();
  const directory = join(PRODUCTION_DIRECTORY, FORMATS);
  cpSync(FORMATS, directory, { recursive: true });
  const program = join(PRODUCTION_DIRECTORY, 'print-samples.js');
  execFileSync('npx', [
    ...['esbuild', join(directory, 'print-samples.ts'), '--bundle', '--platform=node', '--target=node20'],
    ...['--loader:.proto=text', '--log-level=warning', `--outfile=${program}`],
  ]);
  const samples = execFileSync(process.execPath, [program], { maxBuffer: 64 * 1024 * 1024 });
  writeFileSync(SAMPLES_FILE, samples);
  console.log(`${SAMPLES_FILE}: ${samples.length} bytes`);
}

main();
