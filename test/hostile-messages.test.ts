/** @file No message, whatever its bytes, ends the process that reads it: each decoder runs in a process of its own. */
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { test } from 'node:test';
import { DECODERS } from './hostile/decoders';
import { deployFlags } from './hostile/deploy-flags';
import { runHostileMessages, type HostileRun, type HostileRunResult } from './hostile/run';

const RUN_VARIABLE = 'HOSTILE_RUN';
const SEEDS = (process.env.HOSTILE_SEEDS ?? '1').split(',').map(Number);
const MESSAGES = Number(process.env.HOSTILE_MESSAGES ?? 400);
const RESULT_PREFIX = 'result ';
const MAX_OUTPUT_LINES = 3;

/** Runs the messages in a process of its own under the flags of a controller. */
async function runInProcess(run: HostileRun): Promise<HostileRunResult> {
  const child = spawn(process.execPath, [...deployFlags(), __filename], {
    env: { ...process.env, [RUN_VARIABLE]: JSON.stringify(run), NODE_TEST_CONTEXT: '' },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  let errors = '';
  child.stdout.on('data', (bytes: Buffer) => (output = (output + bytes.toString()).slice(-4_000)));
  child.stderr.on('data', (bytes: Buffer) => (errors = (errors + bytes.toString()).slice(0, 4_000)));
  const end = await new Promise<string>((resolve) => {
    child.once('close', (code, signal) => {
      resolve(signal ?? String(code));
    });
  });
  const lines = output.trimEnd().split('\n');
  const last = lines.slice(-MAX_OUTPUT_LINES).join('\n');
  assert.equal(end, '0', `${JSON.stringify(run)} ended with ${end}\n${last}\n${errors}`);
  return JSON.parse(lines.at(-1)?.slice(RESULT_PREFIX.length) ?? '') as HostileRunResult;
}

async function runAsChild(run: HostileRun): Promise<void> {
  const result = await runHostileMessages(run);
  console.log(RESULT_PREFIX + JSON.stringify(result));
}

const ownRun = process.env[RUN_VARIABLE];
if (ownRun !== undefined) void runAsChild(JSON.parse(ownRun) as HostileRun);
else {
  for (const decoder of Object.keys(DECODERS)) {
    for (const seed of SEEDS) {
      test(`no message ends the process that reads it: ${decoder}, seed ${seed}`, async (t) => {
        const result = await runInProcess({ decoder, seed, messages: MESSAGES });
        t.diagnostic(JSON.stringify(result));
        assert.equal(result.read, MESSAGES);
      });
    }
  }
}
