/** @file What all cases share: folders, settings of a small deployment, and the end of a run. */
import { dirname, join } from 'node:path';
import type { Deployment } from './deployment';
import type { OfferedType } from './cloud';
import type { Platform } from './controllers';
import { RunRecord } from './record';

/** Exit codes of a case. */
export const BROKEN = 1;
export const HELD = 0;
export const NOT_RUN = 2;

// After an error that nothing handles, Node would exit with 1, which means that the rule was broken.
for (const event of ['uncaughtException', 'unhandledRejection'] as const) {
  process.on(event, (error: unknown) => {
    console.error(error);
    process.exit(NOT_RUN);
  });
}

/** Whether the disruption is played; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The root of the repository; the cases are built into `target/review/N`. */
export const root = join(dirname(__filename), '../../..');

/** The record of the case in this folder below `review/`. */
export function recordOf(folder: string): RunRecord {
  return new RunRecord(join(root, 'review', folder, 'record.txt'));
}

const ZONES = ['concord-room', 'keene-room'];

/** The settings of the Granite Valley deployment on smaller machines, with four of its teams. */
export const GRANITE_LEAN: Platform = {
  zones: ZONES,
  teams: ['01', '02', '03', '04'].map((number) => ({
    name: `billing-ops-${number}`,
    cpus: 300,
    cpusMax: 900,
  })),
  workers: { reportS: 0.8, leaseS: 10, cancelS: 30 },
  state: { rps: 200, writeRps: 40, valueKb: 16, txnOps: 32 },
  cloud: { rps: 3, listLagS: 8 },
  quota: { cpu: 0.068, memMb: 108, fdLimit: 700 },
};

/** The machine type `maple-16` of that deployment. */
export const MAPLE: OfferedType = {
  label: 'maple-16',
  cpus: 16,
  memoryGb: 64,
  cacheGb: 70,
  fetchGbPerS: 0.25,
  rate: 0.82,
  spotPrice: 0.19,
  bootS: 20,
  zones: ZONES,
};

/** The machine type `birch-64` of that deployment. */
export const BIRCH: OfferedType = {
  label: 'birch-64',
  cpus: 64,
  memoryGb: 256,
  cacheGb: 50,
  fetchGbPerS: 0.4,
  rate: 3.37,
  spotPrice: 0.82,
  bootS: 30,
  zones: ZONES,
};

/** The outcome of a case: its exit code and the reason. */
export interface Outcome {
  readonly code: number;
  readonly reason: string;
}

/** Runs a case within a time limit, records its outcome, ends all processes and exits. */
export function finish(
  record: RunRecord,
  limitS: number,
  run: (keep: (deployment: Deployment) => void) => Promise<Outcome>,
): void {
  let deployment: Deployment | undefined;
  const end = ({ code, reason }: Outcome): void => {
    record.add(`outcome ${code}: ${reason}`);
    console.log(`${code}: ${reason}`);
    if (process.env.KEEP_LOG !== undefined && deployment) console.error(deployment.controllers.log());
    deployment?.end();
    process.exit(code);
  };
  setTimeout(() => {
    end({ code: NOT_RUN, reason: `no outcome within ${limitS} s` });
  }, limitS * 1000);
  process.on('SIGTERM', () => {
    end({ code: NOT_RUN, reason: 'terminated' });
  });
  run((started) => {
    deployment = started;
  }).then(end, (error: unknown) => {
    end({ code: NOT_RUN, reason: error instanceof Error ? (error.stack ?? error.message) : String(error) });
  });
}
