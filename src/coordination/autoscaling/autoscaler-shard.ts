/** @file What scaling needs of a shard's owner. */
import type { Condition } from '../../protocol/key-value-store';
import type { Machine } from '../shard/machine';
import type { InstanceOption, ScalingInput } from './scaling-plan';

/** A shard's owner, as scaling sees it. */
export interface AutoscalerShard {
  /** The shard's number. */
  readonly shard: number;
  readonly machines: ReadonlyMap<string, Machine>;
  /** Whether the owner may act for the shard at this very moment. */
  readonly entitled: boolean;
  /** How many machines send heartbeats and wait for a record that they are up. */
  readonly pendingRegistrations: number;
  leaseCondition(): Condition;
  /** What the last round found no room for, and the present state of the fleet. */
  scalingInput(isBackedOff: (option: InstanceOption) => boolean): ScalingInput | undefined;
  /** The cloud confirmed that the machine, and all on it, is gone. */
  onMachineTerminated(machine: Machine): void;
}
