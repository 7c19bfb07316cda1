/** @file Handovers that are held up: whoever has just done a step stands still for 8 s, on either side. */
import assert from 'node:assert/strict';
import { after, test } from 'node:test';
import { context, trace } from '@opentelemetry/api';
import {
  InMemorySpanExporter,
  SimpleSpanProcessor,
  BasicTracerProvider,
} from '@opentelemetry/sdk-trace-base';
import {
  PLANNED_HANDOVER_STEPS,
  HandoverTrace,
  FAILOVER_STEPS,
  type HandoverStep,
} from '../src/suspicion/handover-trace';
import { FakeClock } from './fakes/clock';
import { moveCount } from './fakes/ownership-history';
import {
  freezeFor,
  otherControllers,
  runFaultScenario,
  SUSPICION_ON,
  submitAndCancelDuring,
  type Fault,
} from './suspicion-steps';

const STALL_MS = 8_000;
/** Short of the lease, and often enough for the owner to give its shard up. */
const SHORT_STALL_MS = 2_000;
const SHORT_STALLS = 3;

/** The owner gives its shard up in order; whoever logs the step stalls at that moment. */
function stallAt(step: HandoverStep): Fault {
  return async (play) => {
    const { cluster, owner } = play;
    let stalled = -1;
    cluster.onLog = (index, fields, message) => {
      if (stalled >= 0 || message !== 'handover' || fields.step !== step) return;
      stalled = index;
      freezeFor(play, index, STALL_MS);
    };
    for (let stall = 0; stall < SHORT_STALLS; stall += 1) {
      freezeFor(play, owner, SHORT_STALL_MS);
      await cluster.clock.advance(SHORT_STALL_MS + 2_500);
    }
    for (let waited = 0; stalled < 0 && waited < 10_000; waited += 100) await cluster.clock.advance(100);
    assert.ok(stalled >= 0, `nobody came to "${step}"`);
    await submitAndCancelDuring(
      cluster,
      otherControllers(cluster, stalled).find((index) => index !== owner) ?? 0,
    );
    await cluster.clock.advance(STALL_MS + 10_000);
  };
}

for (const step of [...PLANNED_HANDOVER_STEPS, ...FAILOVER_STEPS]) {
  test(`who has just come to "${step}" stalls for 8 s: one owner at a time, and every job has one again`, async () => {
    const { history } = await runFaultScenario(stallAt(step), { operator: SUSPICION_ON });
    assert.ok(moveCount(history) >= 1);
  });
}

test('the owner has stopped before its lease goes: it learns of that long after the successor has acquired it', async () => {
  const { history } = await runFaultScenario(
    async (play) => {
      const { cluster, owner } = play;
      cluster.onLog = (index, { step }, message) => {
        if (message !== 'handover' || index !== owner || step !== 'drained') return;
        // Whatever the state service tells this controller from now on comes late.
        const end = cluster.store.rule(({ from }) =>
          from === `node-${owner}` ? { slowMs: 1_400 } : undefined,
        );
        cluster.clock.after(4_000, end);
      };
      for (let stall = 0; stall < SHORT_STALLS; stall += 1) {
        freezeFor(play, owner, SHORT_STALL_MS);
        await cluster.clock.advance(SHORT_STALL_MS + 2_500);
      }
      await cluster.clock.advance(10_000);
    },
    { operator: SUSPICION_ON },
  );
  assert.equal(moveCount(history), 1);
});

/** Registers a provider whose spans end up in memory. */
function exportedSpans(): InMemorySpanExporter {
  const exporter = new InMemorySpanExporter();
  const provider = new BasicTracerProvider({ spanProcessors: [new SimpleSpanProcessor(exporter)] });
  trace.setGlobalTracerProvider(provider);
  after(() => {
    trace.disable();
    context.disable();
  });
  return exporter;
}

test('a handover is a span with an event for each step, which ends with the last or when it is broken off', async () => {
  const exporter = exportedSpans();
  const clock = new FakeClock();
  const lines: unknown[] = [];
  const nothing = (): void => undefined;
  const log = {
    error: nothing,
    warn: nothing,
    debug: nothing,
    info: (fields: unknown) => lines.push(fields),
  };
  const handover = new HandoverTrace(3, { clock, log: log as never });
  for (const step of FAILOVER_STEPS) {
    handover.recordStep(step);
    handover.recordStep(step);
    await clock.advance(250);
  }
  assert.equal(handover.isComplete, true);
  assert.equal(lines.length, FAILOVER_STEPS.length, 'a step that is repeated is logged once');
  const brokenOff = new HandoverTrace(4, { clock, log: log as never });
  brokenOff.recordStep('chosen');
  brokenOff.abandon();
  handover.abandon();
  const spans = exporter.getFinishedSpans();
  assert.deepEqual(
    spans.map(({ attributes, events }) => [attributes.shard, events.map(({ name }) => name)]),
    [
      [3, [...FAILOVER_STEPS]],
      [4, ['chosen', 'abandoned']],
    ],
  );
  assert.deepEqual(
    spans[0]?.events.map(({ attributes }) => attributes?.['handover.at_ms']),
    [0, 250, 500, 750, 1_000],
  );
});
