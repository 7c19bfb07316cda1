/** @file The interface of a shard owner for the autoscaler. */
import type { Condition } from '../../protocol/key-value-store';
import type { Machine } from '../shard/machine';
import type { InstanceOption, ScalingInput } from './scaling-plan';

/** The members of a shard owner that the autoscaler uses. */
export interface AutoscalerShard {
  /** The shard's number. */
  readonly shard: number;
  readonly machines: ReadonlyMap<string, Machine>;
  /** Whether the owner holds a valid lease for the shard at this moment. */
  readonly entitled: boolean;
  /** Number of machines that send heartbeats and are not yet recorded as up. */
  readonly pendingRegistrations: number;
  leaseCondition(): Condition;
  /** The tasks that the last scheduling round could not place, and a fleet snapshot; undefined until known. */
  scalingInput(isBackedOff: (option: InstanceOption) => boolean): ScalingInput | undefined;
  /** Called when the cloud has confirmed the machine's termination, which ends all tasks on it. */
  onMachineTerminated(machine: Machine): void;
}
