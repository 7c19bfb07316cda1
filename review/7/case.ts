/** @file Case 7: workers of a later version report one more list, and no controller takes their reports. */
import { runCase } from '../stand-ins-2/case';
import { BILLING, BILLING_MACHINES } from '../stand-ins-2/deployments';
import { runOrdinaryJobs } from '../stand-ins-2/ordinary-jobs';

/** How many of its links a worker reports on. */
const LINKS = 300;

/** Which links of the machine are up: a field that this version of the protocol doesn't have, less than 3 KiB long. */
const links = Array.from({ length: LINKS }, (_, index) => ({ n: index % 100, ok: true }));

void runCase(
  {
    deployment: BILLING,
    types: BILLING_MACHINES,
    controllers: 3,
    troubledWorkers: { laterFields: { links } },
  },
  runOrdinaryJobs,
);
