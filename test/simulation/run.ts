import { parseArgs } from 'node:util';
import { TrafficDigest } from '../fakes/traffic-digest';
import { RandomizedSimulation } from './simulation';

/**
 * Walks over many seeds: `npm run walk -- --seeds 200 --from 1`; with `--first` up to the first that fails; with
 * `--digest` a line for each seed with the digest of all messages, which stays the same while behaviour does.
 */
async function main(): Promise<void> {
  const options = {
    seeds: { type: 'string', default: '200' },
    from: { type: 'string', default: '1' },
    first: { type: 'boolean', default: false },
    digest: { type: 'boolean', default: false },
  } as const;
  const { values } = parseArgs({ options });
  const from = Number(values.from);
  const failed: number[] = [];
  let late = 0;
  for (let seed = from; seed < from + Number(values.seeds); seed += 1) {
    const digest = values.digest ? new TrafficDigest() : undefined;
    const walk = new RandomizedSimulation(seed, undefined, digest?.add);
    const broken = await walk.run();
    if (digest) console.log(`seed ${seed}: ${digest.hex()} (${digest.count} messages)`);
    late += walk.cluster.invariants.startsAfterCancellation.length;
    if (broken.length === 0) continue;
    failed.push(seed);
    console.log(`seed ${seed}: ${broken.join('; ')}`);
    if (failed.length === 1) console.log(walk.story());
    if (values.first) break;
  }
  console.log(`${values.seeds} seeds from ${from}: ${failed.length} failed (${failed.join(', ')})`);
  console.log(`starts after a confirmed cancellation: ${late}`);
  process.exitCode = failed.length > 0 ? 1 : 0;
}

void main();
