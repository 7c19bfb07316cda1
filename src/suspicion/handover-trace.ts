/** @file The named steps of a handover, each logged with its time and traced as events of a span. */
import { trace, type Span } from '@opentelemetry/api';
import type { Clock } from '../base/clock';
import type { Log } from '../base/log';

const TRACER = 'ironstream.suspicion';

/** The steps of acquiring a shard from another owner, in their order. */
export const FAILOVER_STEPS = [
  'chosen',
  'acquired',
  'token drawn',
  'workers confirmed',
  'orphaned jobs placed',
] as const;
/** The steps of handing a shard over by choice, in their order. */
export const PLANNED_HANDOVER_STEPS = ['stopped', 'drained', 'successor named'] as const;
/** A step of either side of a handover. */
export type HandoverStep = (typeof FAILOVER_STEPS)[number] | (typeof PLANNED_HANDOVER_STEPS)[number];

/** The last step of either side. */
const LAST_STEPS: readonly HandoverStep[] = ['orphaned jobs placed', 'successor named'];

/** Follows one side of one handover. A step that is reached again, because it was repeated, is not logged again. */
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

  /** Whether every step has been reached. */
  get isComplete(): boolean {
    return LAST_STEPS.some((step) => this.#reached.has(step));
  }

  /** A step was reached; `facts` go into its log line. */
  recordStep(step: HandoverStep, fields: Readonly<Record<string, number | string>> = {}): void {
    if (this.#reached.has(step) || this.isComplete) return;
    this.#reached.add(step);
    const atMs = Math.round(this.context.clock.now() - this.#startedAt);
    this.context.log.info({ shard: this.shard, step, atMs, ...fields }, 'handover');
    this.#span.addEvent(step, { 'handover.at_ms': atMs });
    if (this.isComplete) this.#span.end();
  }

  /** The handover was broken off: another controller was chosen, or the shard was lost again. */
  abandon(): void {
    if (!this.isComplete) this.#span.addEvent('abandoned').end();
  }
}
