/** @file Settings like those of the two small deployments of the users' brief. */
import type { MachineType } from './cloud';
import type { Deployment } from './controllers';

/** Like the recipe kitchen: three controllers, teams without limits. */
export const KITCHEN: Deployment = {
  zones: ['cyberjaya'],
  teams: ['editorial', 'media', 'search', 'growth', 'localisation', 'platform'].map((name) => ({ name })),
  objectives: [
    'kind = "deadline"\nclass = "nutrition-tally"\nshare = 0.88\ntimes = 1.0',
    'kind = "wait"\nclass = "photo-resize"\nwithin_s = 1.0\nshare = 0.85',
    'kind = "wait"\nclass = "sponsored-render"\nwithin_s = 5.0\nshare = 0.82',
  ],
  timeBoundMs: 100,
  workers: { reportS: 3, leaseS: 26, cancelS: 51 },
  state: { rps: 250, writeRps: 100, valueKb: 16, txnOps: 32 },
  cloud: { rps: 4, listLagS: 4 },
  quota: { cpu: 0.34, memMb: 242, sockets: 2500 },
  restartS: 6,
};

/** The machines of the recipe kitchen, which boot faster than nominal so that a case stays short. */
export const KITCHEN_MACHINES: readonly MachineType[] = [
  {
    label: 'kuali-16',
    cpus: 16,
    memGb: 32,
    cacheGb: 50,
    fetchGbPerS: 0.25,
    rate: 0.69,
    spotPrice: 0.25,
    bootS: 5,
    capacity: {
      cyberjaya: { ordinary: 6, spot: 9 },
      'bayan-lepas': { ordinary: 5, spot: 9 },
      'johor-south': { ordinary: 7, spot: 12 },
    },
  },
];

/** Like the billing cooperative: three controllers, short leases. */
export const BILLING: Deployment = {
  zones: ['concord-room', 'keene-room'],
  teams: Array.from({ length: 16 }, (_, index) => ({ name: `billing-ops-${index}`, cpus: 64, cpusMax: 192 })),
  objectives: ['kind = "finished"\nclass = "statement-print"\nwithin_s = 250.0\nshare = 0.82'],
  timeBoundMs: 5,
  workers: { reportS: 0.8, leaseS: 10, cancelS: 30 },
  state: { rps: 200, writeRps: 40, valueKb: 16, txnOps: 32 },
  cloud: { rps: 3, listLagS: 8 },
  quota: { cpu: 0.136, memMb: 146, sockets: 700 },
  restartS: 8,
};

/** The smaller machines of the billing cooperative, which boot faster than nominal so that a case stays short. */
export const BILLING_MACHINES: readonly MachineType[] = [
  {
    label: 'maple-16',
    cpus: 16,
    memGb: 64,
    cacheGb: 70,
    fetchGbPerS: 0.25,
    rate: 0.82,
    spotPrice: 0.19,
    bootS: 4,
    capacity: {
      'concord-room': { ordinary: 3, spot: 10 },
      'keene-room': { ordinary: 3, spot: 9 },
    },
  },
];
