/** @file Writes spans to the log. Built as a separate bundle, loaded only when an operator has enabled tracing. */
import { context, trace } from '@opentelemetry/api';
import { AsyncLocalStorageContextManager } from '@opentelemetry/context-async-hooks';
import {
  BasicTracerProvider,
  SimpleSpanProcessor,
  type ReadableSpan,
  type SpanExporter,
} from '@opentelemetry/sdk-trace-base';
import type { Log } from '../base/log';

const MS_PER_S = 1_000;
const NS_PER_MS = 1_000_000;

/** The export result that means success. */
const SUCCESS = { code: 0 } as const;

/** Writes one log line for each span, with its events. */
export class LogSpanExporter implements SpanExporter {
  constructor(private readonly log: Log) {}

  export(spans: ReadableSpan[], done: (result: { code: 0 }) => void): void {
    for (const { name, attributes, events, duration } of spans) {
      const [seconds, nanoseconds] = duration;
      const ms = seconds * MS_PER_S + nanoseconds / NS_PER_MS;
      const eventFields = events.map((event) => ({ event: event.name, ...event.attributes }));
      this.log.info({ span: name, ms: Number(ms.toFixed(2)), ...attributes, events: eventFields }, 'span');
    }
    done(SUCCESS);
  }

  shutdown(): Promise<void> {
    return Promise.resolve();
  }
}

/** Registers a tracer provider for this process whose spans go to the exporter. */
export function startTracing(exporter: SpanExporter): void {
  context.setGlobalContextManager(new AsyncLocalStorageContextManager().enable());
  const provider = new BasicTracerProvider({ spanProcessors: [new SimpleSpanProcessor(exporter)] });
  trace.setGlobalTracerProvider(provider);
}

/** Writes the spans of this process to its log. */
export function traceToLog(log: Log): void {
  startTracing(new LogSpanExporter(log));
}
