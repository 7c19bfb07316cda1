/** @file Case 6: workers count their messages by the nanoseconds of the day, and no controller takes their reports. */
import { runCase } from '../stand-ins-2/case';
import { BILLING, BILLING_MACHINES } from '../stand-ins-2/deployments';
import { runOrdinaryJobs } from '../stand-ins-2/ordinary-jobs';
import { now } from '../stand-ins-2/wire';

const NS_PER_MS = 1_000_000;

const startedAt = BigInt(Date.now()) * BigInt(NS_PER_MS);
let last = startedAt;

/** Nanoseconds of the day: above 2^53, below 2^64, and greater with each message. */
function nanoseconds(): bigint {
  const next = startedAt + BigInt(Math.round(now() * NS_PER_MS));
  last = next > last ? next : last + 1n;
  return last;
}

void runCase(
  {
    deployment: BILLING,
    types: BILLING_MACHINES,
    controllers: 3,
    troubledWorkers: { nextTally: nanoseconds },
  },
  runOrdinaryJobs,
);
