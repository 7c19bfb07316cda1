import { collectSamples } from './scenario';

/** Prints samples of what the controllers of these sources write. */
async function main(): Promise<void> {
  process.stdout.write(`${JSON.stringify(await collectSamples(), null, 2)}\n`);
}

void main();
