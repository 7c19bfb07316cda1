/** @file Traces submissions with the OpenTelemetry API, which does nothing while no tracer provider is registered. */
import { trace } from '@opentelemetry/api';
import type { Job } from '../protocol/model';
import type { AdmissionDecision } from './decision';
import type { Epoch } from './epoch';

const TRACER = 'ironstream.admission';

/** Records a decision as an event of the active span, if there is one. */
export function traceDecision(job: Job, epoch: Epoch, decision: AdmissionDecision): void {
  trace.getActiveSpan()?.addEvent('decided', {
    'job.id': job.id,
    'job.class': job.jobClass,
    'job.team': job.team,
    'admission.epoch': epoch.number,
    'admission.decision': decision.kind,
  });
}

/** Runs an operation on a submission inside a span. */
export function traceSubmission<T>(job: Job, operation: () => Promise<T>): Promise<T> {
  return trace
    .getTracer(TRACER)
    .startActiveSpan('submission', { attributes: { 'job.id': job.id } }, async (span) => {
      try {
        return await operation();
      } catch (error) {
        if (error instanceof Error) span.recordException(error);
        throw error;
      } finally {
        span.end();
      }
    });
}
