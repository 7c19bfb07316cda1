/** @file The operators' settings of suspicion, the values derived from them, and the command that shows peers. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { parse } from 'smol-toml';
import { makeSettings, type Settings } from '../src/base/settings';
import { SettingsError } from '../src/base/settings-schema';
import { createProgram } from '../src/cli/program';
import { peersTable } from '../src/cli/peers-table';
import { codec } from '../src/protocol/codec';
import { describeSuspicion, readSuspicionOptions } from '../src/suspicion/options';
import type { PeersReport } from '../src/suspicion/peers-report';
import { controllerSettings } from './fakes/controller-settings';
import { SimulatedCluster } from './fakes/simulated-cluster';
import { SUSPICION_ON } from './suspicion-steps';

function settingsWith(suspicion: unknown): Settings {
  const { platform } = controllerSettings(0, {}, 1);
  return makeSettings(platform, { suspicion }, ['settings.toml', 'options.toml']);
}

test('suspicion is off without its options or with `enabled = false`', () => {
  assert.equal(readSuspicionOptions(settingsWith(undefined)), undefined);
  assert.equal(readSuspicionOptions(settingsWith({ enabled: false })), undefined);
  assert.equal(describeSuspicion(settingsWith({ enabled: false })), null);
});

test('the options file that is shipped with the program is valid and contains the defaults', () => {
  const { suspicion } = parse(readFileSync('deploy/suspicion.toml', 'utf8'));
  assert.deepEqual(
    readSuspicionOptions(settingsWith(suspicion)),
    readSuspicionOptions(settingsWith({ enabled: true })),
  );
});

test('check-config shows when a peer is suspected, and when it is declared failed', () => {
  const defaults = describeSuspicion(settingsWith({ enabled: true }));
  assert.equal(defaults?.verdictAfterMs, 5_000);
  assert.ok(
    defaults.suspectedAfterMs > 2_000 && defaults.suspectedAfterMs < 2_300,
    `${defaults.suspectedAfterMs}`,
  );
  const fixed = describeSuspicion(settingsWith({ enabled: true, detector: 'fixed', timeout_s: 3 }));
  assert.equal(fixed?.suspectedAfterMs, 3_000);
});

for (const [title, suspicion, key] of [
  ['a timeout as short as the heartbeat interval', { enabled: true, timeout_s: 1 }, 'suspicion.timeout_s'],
  ['a timeout as long as the lease', { enabled: true, timeout_s: 5 }, 'suspicion.timeout_s'],
  ['a stall as long as the lease', { enabled: true, stall_s: 5 }, 'suspicion.stall_s'],
  [
    'a planned handover after the lease has expired',
    { enabled: true, give_up_after_s: 6 },
    'suspicion.give_up_after_s',
  ],
  ['a window too short for the number of stalls', { enabled: true, stalls: 30 }, 'suspicion.stall_window_s'],
  ['a threshold of zero', { enabled: true, phi_threshold: 0 }, 'suspicion.phi_threshold'],
  ['a threshold that is not finite', { enabled: true, phi_threshold: Infinity }, 'suspicion.phi_threshold'],
  ['a negative limit on moves', { enabled: true, moves_per_minute: -1 }, 'suspicion.moves_per_minute'],
  ['a fractional number of stalls', { enabled: true, stalls: 0.5 }, 'suspicion.stalls'],
  ['an unknown detector', { enabled: true, detector: 'swim' }, 'suspicion.detector'],
  ['an unknown key', { enabled: true, threshold: 8 }, 'suspicion: .*threshold'],
  ['a missing `enabled`', { timeout_s: 3 }, 'suspicion.enabled'],
  ['a number instead of a table', 7, 'suspicion'],
] as const) {
  test(`a start is rejected for ${title}, and the error names key and file`, () => {
    assert.throws(
      () => readSuspicionOptions(settingsWith(suspicion)),
      (error) => error instanceof SettingsError && new RegExp(`^options.toml: ${key}`).test(error.message),
    );
  });
}

/** Runs the command line; returns its output, its errors and its exit code. */
async function runCommand(...args: string[]): Promise<{ output: string; errors: string; code: number }> {
  const result = { output: '', errors: '', code: 0 };
  const program = createProgram('none', {
    print: (line) => {
      result.output += `${line}\n`;
    },
    fail: (message, code) => {
      result.errors += message;
      result.code = code;
    },
  });
  await program.parseAsync(['node', 'ironstream', ...args]);
  return result;
}

/** A controller's response to `GET /peers`, from the simulated cluster. */
async function fetchReport(cluster: SimulatedCluster, index: number): Promise<PeersReport> {
  const response = await cluster.request(index, 'GET', '/peers');
  assert.equal(response.status, 200);
  return response.body as PeersReport;
}

test('GET /peers shows the views of all controllers, with the status of a suspect and its refutation', async () => {
  const cluster = new SimulatedCluster({ operator: SUSPICION_ON });
  const owner = await cluster.untilOwned();
  await cluster.clock.advance(15_000);
  const [first = 0, second = 0] = [0, 1, 2].filter((index) => index !== owner);
  const before = await fetchReport(cluster, first);
  assert.equal(before.rows.length, 6);
  assert.ok(before.rows.every(({ status }) => status === 'alive'));
  assert.ok(before.run > 0);
  const resume = cluster.freeze(owner);
  await cluster.clock.advance(4_000);
  const during = await fetchReport(cluster, first);
  const ownerOpinions = during.rows.filter(({ peer }) => peer === `node-${owner}`);
  assert.deepEqual(
    ownerOpinions.map(({ from, status, reason }) => `${from} ${status} ${reason}`).sort(),
    [first, second].map((index) => `node-${index} suspected no heartbeat`).sort(),
  );
  resume();
  await cluster.clock.advance(2_500);
  const after = await fetchReport(cluster, first);
  const refuted = after.rows.filter(({ from, peer }) => from === `node-${first}` && peer === `node-${owner}`);
  assert.deepEqual(
    refuted.map(({ status }) => status),
    ['refuted'],
  );
  assert.ok((refuted[0]?.incarnation ?? 0) > 0, 'the refutation has a higher incarnation');
});

test('with suspicion off, GET /peers responds 404', async () => {
  const cluster = new SimulatedCluster();
  await cluster.untilOwned();
  const response = await cluster.request(0, 'GET', '/peers');
  assert.equal(response.status, 404);
  assert.deepEqual(response.body, { error: 'suspicion is off' });
});

test('`peers` prints a table, or JSON with --json; exit code 2 if the request is rejected, 3 without a response', async () => {
  const cluster = new SimulatedCluster({ operator: SUSPICION_ON });
  await cluster.untilOwned();
  await cluster.clock.advance(15_000);
  const report = await fetchReport(cluster, 0);
  let status = 200;
  const server = createServer((request, response) => {
    assert.equal(request.url, '/peers');
    response.writeHead(status, { 'content-type': 'application/msgpack' });
    response.end(codec.encode(status === 200 ? report : { error: 'suspicion is off' }));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const table = await runCommand('peers', address);
  assert.equal(table.code, 0);
  assert.equal(table.output, `${peersTable(report)}\n`);
  const lines = table.output.trimEnd().split('\n');
  assert.match(lines[0] ?? '', /^node-0: run \d+, incarnation 0, stalls 0$/);
  assert.match(lines[2] ?? '', /^FROM +PEER +STATUS/);
  assert.equal(lines.length, 3 + report.rows.length);
  const json = await runCommand('peers', address, '--json');
  assert.deepEqual(JSON.parse(json.output), report);
  status = 404;
  const refused = await runCommand('peers', address);
  assert.deepEqual([refused.code, refused.output], [2, '']);
  assert.match(refused.errors, /404: suspicion is off/);
  await new Promise((resolve) => server.close(resolve));
  const unreachable = await runCommand('peers', address);
  assert.equal(unreachable.code, 3);
});
