/** @file Generates samples of the records and peer messages that the production version's controllers write. */
import { execFileSync } from 'node:child_process';
import { cpSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { extractProduction, PRODUCTION_DIRECTORY } from '../production/extract';

const SAMPLES_FILE = 'test/data/production-formats.json';
const FORMATS = 'test/formats';

/** Replaces scenario-cluster.ts in the production version's sources: maps its names to the present version's names. */
const SCENARIO_CLUSTER = `
import { FakeStateService } from '../fakes/state-service';
import { World } from '../fakes/world';

Object.defineProperty(FakeStateService.prototype, 'revision', {
  get() {
    return this.ledger;
  },
});

export class SimulatedCluster extends World {
  get store() {
    return this.state;
  }
  get runningTasks() {
    return this.running;
  }
  get partitionedPairs() {
    return this.apart;
  }
  set dropsPeerMessages(isLost) {
    this.silencePeers = isLost;
  }
  machineOf(task) {
    return this.where(task);
  }
  untilJobState(id, state) {
    return this.untilStanding(id, state);
  }
  assertInvariants() {
    this.noRuleBroken();
  }
}

export const controllerOf = (process) => process.node;
export const changeOf = (message) => (message?.kind === 'nudge' ? message.event : undefined);
`;

/** Runs the scenario with the production version's sources, and saves what its controllers wrote as test data. */
function main(): void {
  extractProduction();
  const directory = join(PRODUCTION_DIRECTORY, FORMATS);
  cpSync(FORMATS, directory, { recursive: true });
  writeFileSync(join(directory, 'scenario-cluster.ts'), SCENARIO_CLUSTER);
  const program = join(PRODUCTION_DIRECTORY, 'print-samples.js');
  execFileSync('npx', [
    'esbuild',
    join(directory, 'print-samples.ts'),
    '--bundle',
    '--platform=node',
    '--target=node20',
    '--loader:.proto=text',
    '--log-level=warning',
    `--outfile=${program}`,
  ]);
  const samples = execFileSync(process.execPath, [program], { maxBuffer: 64 * 1024 * 1024 });
  writeFileSync(SAMPLES_FILE, samples);
  console.log(`${SAMPLES_FILE}: ${samples.length} bytes`);
}

main();
