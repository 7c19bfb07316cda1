/** @file Remembers task sizes that could not be placed, so that the machines are not examined for them again. */
import type { Resources } from '../../protocol/model';
import type { WaitingJob } from './job-queue';

/** Remembers by group which task sizes did not fit. In a round free resources only shrink, so larger ones don't fit. */
export class UnplaceableSizes {
  readonly #sizesByGroup = new Map<string, Resources[]>();

  /** Remembers that a task with these needs could not be placed. */
  add(group: string, needs: Resources): void {
    const sizes = this.#sizesByGroup.get(group) ?? [];
    this.#sizesByGroup.set(group, [...sizes.filter((size) => !isAtLeast(size, needs)), needs]);
  }

  /** Whether a task with the same or smaller needs could not be placed before. */
  has(group: string, needs: Resources): boolean {
    return this.#sizesByGroup.get(group)?.some((size) => isAtLeast(needs, size)) ?? false;
  }
}

function isAtLeast(resources: Resources, bound: Resources): boolean {
  return resources.cpus >= bound.cpus && resources.gpus >= bound.gpus && resources.memoryGb >= bound.memoryGb;
}

/** Whether the job's tasks may go to any machine. If such a task doesn't fit, none of its size in the group does. */
export function isUnconstrained({ job, machinesToAvoid }: WaitingJob): boolean {
  const { spot, types, zone, oneZone, spread } = job;
  return spot && types === null && zone === null && !oneZone && !spread && machinesToAvoid.size === 0;
}
