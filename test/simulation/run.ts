/** @file Runs the randomized simulation for many seeds. */
import { parseArgs } from 'node:util';
import { TrafficDigest } from '../fakes/traffic-digest';
import type { Version } from '../fakes/versions';
import { RandomizedSimulation } from './simulation';

/**
 * `npm run simulate -- --seeds 200 --from 1`. `--shards 2` divides the teams and machines among two shards. `--versions
 * production,present,present` starts the controllers with these versions; the production version has to be bundled first
 * (`npm run production`). `--first` stops at the first seed that fails. `--digest` prints for each seed a digest of all
 * messages, which stays the same as long as the behaviour does.
 */
async function main(): Promise<void> {
  const options = {
    seeds: { type: 'string', default: '200' },
    from: { type: 'string', default: '1' },
    shards: { type: 'string' },
    versions: { type: 'string' },
    first: { type: 'boolean', default: false },
    digest: { type: 'boolean', default: false },
  } as const;
  const { values } = parseArgs({ options });
  const from = Number(values.from);
  const cluster = {
    ...(values.shards === undefined ? {} : { shards: Number(values.shards) }),
    ...(values.versions === undefined ? {} : { versions: values.versions.split(',').map(versionNamed) }),
  };
  const failed: number[] = [];
  let startsAfterCancellation = 0;
  for (let seed = from; seed < from + Number(values.seeds); seed += 1) {
    const digest = values.digest ? new TrafficDigest() : undefined;
    const simulation = new RandomizedSimulation(seed, { ...cluster, observer: digest?.add });
    const violations = await simulation.run();
    if (digest) console.log(`seed ${seed}: ${digest.hex()} (${digest.count} messages)`);
    startsAfterCancellation += simulation.cluster.invariants.startsAfterCancellation.length;
    if (violations.length === 0) continue;
    failed.push(seed);
    console.log(`seed ${seed}: ${violations.join('; ')}`);
    if (failed.length === 1) console.log(simulation.report());
    if (values.first) break;
  }
  console.log(`${values.seeds} seeds from ${from}: ${failed.length} failed (${failed.join(', ')})`);
  console.log(`starts after a confirmed cancellation: ${startsAfterCancellation}`);
  process.exitCode = failed.length > 0 ? 1 : 0;
}

function versionNamed(name: string): Version {
  if (name !== 'present' && name !== 'production') throw new Error(`unknown version ${name}`);
  return name;
}

void main();
