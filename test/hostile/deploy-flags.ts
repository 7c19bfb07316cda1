/** @file The flags with which the runtime runs a controller. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

/** The runtime's flags in the run line of the deploy file. */
export function deployFlags(): string[] {
  const { run } = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
  return run.split(' ').filter((word) => word.startsWith('--') && word !== '--config');
}
