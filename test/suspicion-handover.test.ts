/** @file Delayed handovers: the controller that has just completed a step stalls for 8 s, on either side. */
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
/** Shorter than the lease; this many stalls make the owner hand its shard over. */
const SHORT_STALL_MS = 2_000;
const SHORT_STALLS = 3;

/** The owner starts a planned handover; the controller that logs the step stalls at that moment. */
function stallAt(step: HandoverStep): Fault {
  return async (scenario) => {
    const { cluster, owner } = scenario;
    let stalledIndex = -1;
    cluster.onLog = (index, fields, message) => {
      if (stalledIndex >= 0 || message !== 'handover' || fields.step !== step) return;
      stalledIndex = index;
      freezeFor(scenario, index, STALL_MS);
    };
    for (let stall = 0; stall < SHORT_STALLS; stall += 1) {
      freezeFor(scenario, owner, SHORT_STALL_MS);
      await cluster.clock.advance(SHORT_STALL_MS + 2_500);
    }
    for (let waited = 0; stalledIndex < 0 && waited < 10_000; waited += 100) await cluster.clock.advance(100);
    assert.ok(stalledIndex >= 0, `no controller reached "${step}"`);
    await submitAndCancelDuring(
      cluster,
      otherControllers(cluster, stalledIndex).find((index) => index !== owner) ?? 0,
    );
    await cluster.clock.advance(STALL_MS + 10_000);
  };
}

for (const step of [...PLANNED_HANDOVER_STEPS, ...FAILOVER_STEPS]) {
  test(`the controller that has just reached "${step}" stalls for 8 s: one owner at a time, and every job has one again`, async () => {
    const { history } = await runFaultScenario(stallAt(step), { operator: SUSPICION_ON });
    assert.ok(moveCount(history) >= 1);
  });
}

test('the owner stops before it releases its lease: the confirmation arrives long after the successor acquired the shard', async () => {
  const { history } = await runFaultScenario(
    async (scenario) => {
      const { cluster, owner } = scenario;
      cluster.onLog = (index, { step }, message) => {
        if (message !== 'handover' || index !== owner || step !== 'drained') return;
        // From now on every response of the state service to this controller is late.
        const endDelay = cluster.store.rule(({ from }) =>
          from === `node-${owner}` ? { slowMs: 1_400 } : undefined,
        );
        cluster.clock.after(4_000, endDelay);
      };
      for (let stall = 0; stall < SHORT_STALLS; stall += 1) {
        freezeFor(scenario, owner, SHORT_STALL_MS);
        await cluster.clock.advance(SHORT_STALL_MS + 2_500);
      }
      await cluster.clock.advance(10_000);
    },
    { operator: SUSPICION_ON },
  );
  assert.equal(moveCount(history), 1);
});

/** Registers a tracer provider that exports its spans to memory. */
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

test('a handover is a span with one event per step, which ends with the last step or when the handover is abandoned', async () => {
  const exporter = exportedSpans();
  const clock = new FakeClock();
  const logged: unknown[] = [];
  const ignore = (): void => undefined;
  const log = {
    error: ignore,
    warn: ignore,
    debug: ignore,
    info: (fields: unknown) => logged.push(fields),
  };
  const handover = new HandoverTrace(3, { clock, log: log as never });
  for (const step of FAILOVER_STEPS) {
    handover.recordStep(step);
    handover.recordStep(step);
    await clock.advance(250);
  }
  assert.equal(handover.isComplete, true);
  assert.equal(logged.length, FAILOVER_STEPS.length, 'a repeated step is logged once');
  const abandonedHandover = new HandoverTrace(4, { clock, log: log as never });
  abandonedHandover.recordStep('chosen');
  abandonedHandover.abandon();
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
