/** @file Rents machines for a shard's pending tasks. */
import { describeError } from '../../base/loop';
import {
  CloudRejectedError,
  MAX_MACHINES_PER_CREATE,
  type CreateMachinesRequest,
} from '../../protocol/cloud';
import type { ControllerContext } from '../controller-context';
import type { AutoscalerShard } from './autoscaler-shard';
import type { RentalRecorder } from './rental-recorder';
import { optionKey, planScaling, type InstanceOption, type ScaleOutRequest } from './scaling-plan';

const INTERVAL_MS = 700;
/** How long an option is not requested after the cloud had no capacity for it. */
const NO_CAPACITY_BACKOFF_MS = 12_000;
const MAX_ATTEMPTS = 6;
const RETRY_MS = 1_500;

/** Plans scaling, starts draining idle machines and rents new ones. */
export class ScaleOut {
  /** Monotonic time at which the back-off of an option ends, by `optionKey`. */
  readonly #backedOffUntil = new Map<string, number>();

  constructor(
    private readonly owner: AutoscalerShard,
    private readonly context: ControllerContext,
    private readonly rentals: RentalRecorder,
  ) {}

  /** One step of scale-out; to be run in a loop of its own. */
  async step(signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(INTERVAL_MS, signal);
    if (signal.aborted || !this.owner.entitled || !this.context.eventLoopDelay.allowsScaleOut) return;
    const now = this.context.clock.now();
    const input = this.owner.scalingInput((option) => this.#isBackedOff(option, now));
    if (!input) return;
    const machines = [...input.machines, ...this.rentals.bootingMachines()];
    const plan = planScaling({ ...input, machines });
    for (const id of plan.scaleIn) this.owner.machines.get(id)?.drain('idle');
    for (const request of plan.scaleOut) {
      if (signal.aborted || !this.owner.entitled) return;
      await this.#rent(request, signal);
    }
  }

  #isBackedOff(option: InstanceOption, now: number): boolean {
    return (this.#backedOffUntil.get(optionKey(option)) ?? 0) > now;
  }

  #backOff(option: InstanceOption): void {
    this.#backedOffUntil.set(optionKey(option), this.context.clock.now() + NO_CAPACITY_BACKOFF_MS);
  }

  /** Rents the requested machines in as few calls as the cloud allows; backs off if a call yields fewer. */
  async #rent(request: ScaleOutRequest, signal: AbortSignal): Promise<void> {
    let left = request.count;
    while (left > 0 && !signal.aborted && this.owner.entitled) {
      const count = Math.min(left, MAX_MACHINES_PER_CREATE);
      const created = await this.#createMachines(request, count, signal);
      if (created < count) {
        this.#backOff(request);
        return;
      }
      left -= count;
    }
  }

  /** Requests `count` machines of the option, and retries a failed request; returns the number of rented machines. */
  async #createMachines(option: InstanceOption, count: number, signal: AbortSignal): Promise<number> {
    // All retries of the request send the same random idempotency key, so that a retry can't rent the machines twice.
    const request: CreateMachinesRequest = {
      idempotencyKey: this.context.random.uniqueName(),
      type: option.type.name,
      zone: option.zone,
      spot: option.spot,
      count,
    };
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && !signal.aborted && this.owner.entitled; attempt += 1) {
      try {
        const ids = await this.context.cloud.createMachines(request, () => this.owner.entitled);
        this.context.log.info({ ...request, ids }, 'scale-out: machines rented');
        this.rentals.add(ids, option);
        return ids.length;
      } catch (error) {
        if (error instanceof CloudRejectedError && error.noCapacity) return 0;
        this.context.log.info({ ...request, attempt, err: describeError(error) }, 'scale-out request failed');
        await this.context.clock.sleep(RETRY_MS, signal);
      }
    }
    // If the cloud executes an abandoned request later, the machines appear in the cloud's list and are adopted.
    return 0;
  }
}
