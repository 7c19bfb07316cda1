/** @file Log lines: no key occurs twice in a line. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createLog } from '../src/base/log';

/** A log, and the lines that it writes. */
function capture(node?: string): { log: ReturnType<typeof createLog>; lines: string[] } {
  const lines: string[] = [];
  const log = createLog('debug', node, { write: (line: string) => lines.push(line) });
  return { log, lines };
}

/** The keys of a flat JSON object in order, including duplicates. */
function keysOf(line: string): string[] {
  return [...line.matchAll(/"([a-z_A-Z]+)":/g)].map(([, key]) => key ?? '');
}

test('a field that every line already has occurs only once', () => {
  const { log, lines } = capture('node-0');
  log.info({ node: 'node-0', lease: 3 }, 'became leader');
  log.info({ shard: 1 }, 'shard assigned');
  for (const line of lines) assert.equal(new Set(keysOf(line)).size, keysOf(line).length, line);
  assert.equal((JSON.parse(lines[0] ?? '') as { node: string }).node, 'node-0');
  assert.equal((JSON.parse(lines[0] ?? '') as { lease: number }).lease, 3);
});

test('a field with a reserved key and another value is logged under a prefixed key', () => {
  const { log, lines } = capture('node-0');
  log.warn({ node: 'node-1', level: 'x', time: 1, msg: 'y' }, 'about another');
  const line = JSON.parse(lines[0] ?? '') as Record<string, unknown>;
  assert.equal(new Set(keysOf(lines[0] ?? '')).size, keysOf(lines[0] ?? '').length, lines[0]);
  assert.deepEqual(
    [line.node, line.field_node, line.field_level, line.field_time, line.field_msg, line.msg],
    ['node-0', 'node-1', 'x', 1, 'y', 'about another'],
  );
});

test('a log without a node keeps the node field of a call', () => {
  const { log, lines } = capture();
  log.info({ node: 'node-1' }, 'peer');
  assert.equal((JSON.parse(lines[0] ?? '') as { node: string }).node, 'node-1');
});
