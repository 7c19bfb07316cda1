/** @file Bundles the controller of the production version, for tests with controllers of both versions. */
import { execFileSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { extractProduction, PRODUCTION_DIRECTORY } from './extract';

/** The exports of `test/fakes/controller-parts.ts`, taken from the production version under its own names. */
const PARTS = `
export { makeSettings } from '../../src/base/settings';
export { Node as Controller } from '../../src/coordination/node';
export { createRoutes } from '../../src/coordination/routes';
export { NoAnswer as NoResponseError } from '../../src/transport/http-client';
`;

/** Bundles the production version's controller, for tests in which both versions run in one deployment. */
function main(): void {
  extractProduction();
  const entry = join(PRODUCTION_DIRECTORY, 'test/fakes/controller-parts.ts');
  writeFileSync(entry, PARTS);
  execFileSync('npx', [
    'esbuild',
    entry,
    '--bundle',
    '--platform=node',
    '--target=node20',
    '--loader:.proto=text',
    '--sourcemap',
    '--log-level=warning',
    `--outfile=${join(PRODUCTION_DIRECTORY, 'controller.js')}`,
  ]);
}

try {
  main();
} catch (error) {
  console.error(error instanceof Error ? error.message : error);
  process.exitCode = 1;
}
