/**
 * @file Fault injection on real processes: three controllers on the loopback range, of which the owner of shard 0 is
 * frozen, killed and partitioned. Checks the ownership history: exits with 1 when a shard had two owners at once, a
 * task ran on two machines at once, or an orphaned job had no owner after 30 s.
 */
import { parseArgs } from 'node:util';
import { createRandom } from './random-between';
import { FaultRun, type FaultOutcome, type FaultKind } from './fault-run';

const { values: args } = parseArgs({
  options: {
    seeds: { type: 'string', default: '2' },
    from: { type: 'string', default: '1' },
    machines: { type: 'string', default: '150' },
    faults: { type: 'string', default: 'freeze,kill,cut' },
    out: { type: 'string', default: 'target/load/suspicion' },
    bundle: { type: 'string', default: 'target/load/main.js' },
    /** Turns suspicion off, for comparison. */
    off: { type: 'boolean', default: false },
  },
});

/** A time limit, so that a run that hangs leaves no controllers behind. */
const LONGEST_MS = 5 * 60_000;
setTimeout(() => {
  console.error('the fault run took too long');
  process.exit(2);
}, LONGEST_MS).unref();

const faults = args.faults.split(',') as FaultKind[];
const outcomes: FaultOutcome[] = [];
for (let seed = Number(args.from); seed < Number(args.from) + Number(args.seeds); seed += 1) {
  const faultRun = new FaultRun({
    out: `${args.out}-${seed}`,
    bundle: args.bundle,
    machines: Number(args.machines),
    operatorToml: args.off ? undefined : '[suspicion]\nenabled = true\n',
    random: createRandom(seed),
  });
  outcomes.push(...(await faultRun.run(seed, faults)));
}

console.log(`suspicion ${args.off ? 'off' : 'on'}; times in ms from the fault`);
console.table(outcomes.map(({ violations, ...row }) => ({ ...row, violations: violations.length })));
const violations = outcomes.flatMap((outcome) => outcome.violations);
for (const violation of violations) console.error(violation);
process.exit(violations.length > 0 ? 1 : 0);
