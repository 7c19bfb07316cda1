/** @file Extracts the sources of the production version from the repository's history. */
import { execFileSync } from 'node:child_process';
import { existsSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { parse } from 'smol-toml';

/** The directory that `extractProduction` writes to, relative to the repository's root. */
export const PRODUCTION_DIRECTORY = 'target/production';

const SERVICE_FILE = 'deploy/service.toml';

/** The commit that deploy/service.toml names as the version in production. */
export function productionCommit(): string {
  const { production } = parse(readFileSync(SERVICE_FILE, 'utf8'));
  if (typeof production !== 'string') throw new Error(`${SERVICE_FILE}: production: names no commit`);
  return production;
}

/** Extracts the sources of the production version from the history, unless they have been extracted before. */
export function extractProduction(): void {
  const commit = productionCommit();
  const stamp = join(PRODUCTION_DIRECTORY, 'COMMIT');
  if (existsSync(stamp) && readFileSync(stamp, 'utf8') === commit) return;
  rmSync(PRODUCTION_DIRECTORY, { recursive: true, force: true });
  mkdirSync(PRODUCTION_DIRECTORY, { recursive: true });
  const archive = archiveOf(commit);
  execFileSync('tar', ['-x', '-C', PRODUCTION_DIRECTORY], { input: archive });
  writeFileSync(stamp, commit);
}

function archiveOf(commit: string): Buffer {
  try {
    return execFileSync('git', ['archive', commit, 'src', 'test'], { maxBuffer: 64 * 1024 * 1024 });
  } catch (error) {
    throw new Error(
      `The sources of the production version can't be extracted: commit ${commit} (${SERVICE_FILE}) is not in this ` +
        'repository. The tests need the full git history: fetch it (git fetch --unshallow) and run them again.',
      { cause: error },
    );
  }
}
