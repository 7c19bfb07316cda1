/** @file Remembers which sizes of tasks found no room, so that the machines are not examined for them again. */
import type { Resources } from '../../protocol/model';
import type { WaitingJob } from './job-queue';

/** Sizes that found no room in a round. Room only shrinks during a round, so nothing larger will find any either. */
export class UnplaceableSizes {
  readonly #sizesByGroup = new Map<string, Resources[]>();

  /** Remembers that a task with these needs found no room. */
  add(group: string, needs: Resources): void {
    const sizes = this.#sizesByGroup.get(group) ?? [];
    this.#sizesByGroup.set(group, [...sizes.filter((size) => !isAtLeast(size, needs)), needs]);
  }

  /** Whether a task that needs no more found no room before. */
  has(group: string, needs: Resources): boolean {
    return this.#sizesByGroup.get(group)?.some((size) => isAtLeast(needs, size)) ?? false;
  }
}

function isAtLeast(resources: Resources, bound: Resources): boolean {
  return resources.cpus >= bound.cpus && resources.gpus >= bound.gpus && resources.memoryGb >= bound.memoryGb;
}

/** Whether a task of the job may go to any machine. Only then does its lack of room say something of other jobs. */
export function isUnconstrained({ job, machinesToAvoid }: WaitingJob): boolean {
  const { spot, types, zone, oneZone, spread } = job;
  return spot && types === null && zone === null && !oneZone && !spread && machinesToAvoid.size === 0;
}
