/** @file The record of a run: what was sent, answered and run, with the seconds since the start. */
import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

/** Writes lines to a file, each with the seconds since the record began. */
export class RunRecord {
  readonly #startedAt = performance.now();

  constructor(private readonly file: string) {
    writeFileSync(file, '');
  }

  /** Seconds since the record began. */
  get now(): number {
    return (performance.now() - this.#startedAt) / 1000;
  }

  /** Adds a line. */
  add(line: string): void {
    appendFileSync(this.file, `${this.now.toFixed(3).padStart(8)} ${line}\n`);
  }
}
