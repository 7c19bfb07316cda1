/** @file Counts the messages from outside that were refused, and logs them without a line for each. */
import type { Log } from './log';

/** A message that was refused. */
export interface RefusedMessage {
  /** Which message, such as `submission` or `peer frame`. */
  readonly message: string;
  /** The address that it came from. */
  readonly sender: string;
  /** What was wrong, and in which field. */
  readonly problem: string;
}

interface CountedRefusal {
  readonly refused: RefusedMessage;
  count: number;
}

/** Distinct refusals that are logged in one interval; the others are only counted. */
const MAX_DISTINCT_REFUSALS = 16;
const MAX_PROBLEM_LENGTH = 200;

/**
 * Counts refused messages by message, sender and problem. The first of each is logged at once, so that the log has it even
 * if the process ends; the counts follow with `report`.
 */
export class RefusedMessages {
  readonly #counts = new Map<string, CountedRefusal>();
  #others = 0;

  constructor(private readonly log: Pick<Log, 'warn'>) {}

  /** Counts a refused message. */
  add({ message, sender, problem }: RefusedMessage): void {
    // Without the indexes of list items, which would make each refusal a distinct one.
    const refused = { message, sender, problem: problem.replace(/\.\d+/g, '').slice(0, MAX_PROBLEM_LENGTH) };
    const key = JSON.stringify(refused);
    const counted = this.#counts.get(key);
    if (counted) counted.count += 1;
    else if (this.#counts.size >= MAX_DISTINCT_REFUSALS) this.#others += 1;
    else {
      this.#counts.set(key, { refused, count: 1 });
      this.log.warn({ ...refused }, 'message refused');
    }
  }

  /** Logs the counts since the last report, and starts again from zero. */
  report(): void {
    for (const { refused, count } of this.#counts.values()) {
      if (count > 1) this.log.warn({ ...refused, count }, 'messages refused');
    }
    if (this.#others > 0) this.log.warn({ count: this.#others }, 'other messages refused');
    this.#counts.clear();
    this.#others = 0;
  }
}
