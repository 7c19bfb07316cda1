/** @file Logs the named steps of a handover with their times, and traces them as events of a span. */
import { trace, type Span } from '@opentelemetry/api';
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';

const TRACER = 'ironstream.suspicion';

/** The steps by which a successor acquires a shard, in their order. */
export const FAILOVER_STEPS = [
  'chosen',
  'acquired',
  'token drawn',
  'workers confirmed',
  'orphaned jobs placed',
] as const;
/** The steps by which an owner hands a shard over in a planned handover, in their order. */
export const PLANNED_HANDOVER_STEPS = ['stopped', 'drained', 'successor named'] as const;
/** A step of a handover, by the previous owner or by the successor. */
export type HandoverStep = (typeof FAILOVER_STEPS)[number] | (typeof PLANNED_HANDOVER_STEPS)[number];

/** The last step of the successor and that of the previous owner in a handover. */
const LAST_STEPS: readonly HandoverStep[] = ['orphaned jobs placed', 'successor named'];

/** Traces one handover on one of its two controllers. A step that is repeated is logged only once. */
export class HandoverTrace {
  readonly #reached = new Set<HandoverStep>();
  readonly #startedAt: number;
  readonly #span: Span;

  constructor(
    private readonly shard: number,
    private readonly context: { readonly clock: Clock; readonly log: Log },
  ) {
    this.#startedAt = context.clock.now();
    this.#span = trace.getTracer(TRACER).startSpan('handover', { attributes: { shard } });
  }

  /** Whether this controller's last step of the handover has been recorded. */
  get isComplete(): boolean {
    return LAST_STEPS.some((step) => this.#reached.has(step));
  }

  /** Records and logs that a step of the handover is done; `fields` are added to the log line. */
  recordStep(step: HandoverStep, fields: Readonly<Record<string, number | string>> = {}): void {
    if (this.#reached.has(step) || this.isComplete) return;
    this.#reached.add(step);
    const atMs = Math.round(this.context.clock.now() - this.#startedAt);
    this.context.log.info({ shard: this.shard, step, atMs, ...fields }, 'handover');
    this.#span.addEvent(step, { 'handover.at_ms': atMs });
    if (this.isComplete) this.#span.end();
  }

  /** Ends the trace of an aborted handover: another controller was chosen, or the shard was lost again. */
  abandon(): void {
    if (!this.isComplete) this.#span.addEvent('abandoned').end();
  }
}
