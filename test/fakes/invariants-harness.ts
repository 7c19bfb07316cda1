/** @file The invariants without a deployment, for tests of the invariants themselves. */
import assert from 'node:assert/strict';
import { FakeClock } from './clock';
import { Invariants } from './invariants';
import { submission } from './submission';

const MACHINES = new Map([
  ['m1', { type: 'm4', zone: 'a', isSpot: true }],
  ['m2', { type: 'm4', zone: 'a', isSpot: true }],
  ['m3', { type: 'm4', zone: 'b', isSpot: false }],
]);

/** Invariants to which a test reports users' requests, their responses, and task starts and ends. */
export class InvariantsHarness {
  readonly clock = new FakeClock();
  readonly invariants = new Invariants(this.clock, {
    cancelS: 30,
    limits: new Map([
      ['red', 2],
      ['blue', Infinity],
    ]),
    types: [{ label: 'm4', cpus: 4, cards: 0, memGb: 16, yards: ['a', 'b'] }],
    machine: (id) => MACHINES.get(id),
  });

  /** Reports a user's request. Returns a function to call with the status and the job's state in the response. */
  request(method: string, path: string, body?: unknown): (status: number, state?: string) => void {
    const onResponse = this.invariants.onRequest({ from: 'user', to: 'node', method, path, body });
    return (status, state) => {
      onResponse({ status, body: state === undefined ? null : { standing: state } });
    };
  }

  submit(fields: Record<string, unknown> = {}, id = 'req-1'): void {
    this.request('POST', '/work', submission(id, fields))(201, 'pending');
  }

  assertViolations(...kinds: string[]): void {
    assert.deepEqual(
      this.invariants.violations.map((b) => b.split(':')[0]),
      kinds,
      this.invariants.violations.join(),
    );
  }
}
