/** @file Delayed and duplicated messages between controllers and workers in the randomized simulation. */
import { CONTROLLERS, type SimulationContext } from './context';

/** How often, and how many times, the simulation checks whether another controller owns the shard. */
const OWNER_CHECK_MS = 50;
const MAX_OWNER_CHECKS = 600;

/** Delays and duplicates heartbeats and commands. */
export class MessageFaults {
  constructor(private readonly context: SimulationContext) {}

  /** Sends duplicates of heartbeats after a delay, or as soon as another controller owns the shard. */
  replayHeartbeats(): void {
    const { cluster, faults, random } = this.context;
    const share = random.pick([0.2, 1]) ?? 0;
    const forMs = random.between(1_000, 8_000);
    const captured = cluster.captureHeartbeats(() => random.chance(share));
    const afterMs = random.between(2_000, 25_000);
    const waitsForNextOwner = random.chance(0.5);
    const oldOwner = cluster.owner;
    const replay = (): void => {
      this.context.note('duplicates of heartbeats arrive');
      for (const index of CONTROLLERS) if (this.context.isAlive(index)) captured.replay(index);
    };
    faults.start(`heartbeats are captured: ${share}`, forMs, () => {
      captured.stop();
      if (waitsForNextOwner) {
        this.context.scheduleInFaultPhase(0, () => {
          this.#whenOwnerChanged(oldOwner, MAX_OWNER_CHECKS, replay);
        });
      } else {
        this.context.scheduleInFaultPhase(afterMs, replay);
      }
    });
  }

  #whenOwnerChanged(oldOwner: number, checksLeft: number, act: () => void): void {
    const { owner } = this.context.cluster;
    if (checksLeft === 0 || (owner !== oldOwner && owner >= 0)) {
      act();
      return;
    }
    this.context.scheduleInFaultPhase(OWNER_CHECK_MS, () => {
      this.#whenOwnerChanged(oldOwner, checksLeft - 1, act);
    });
  }

  /** Delays or duplicates commands, or drops the responses to them: all commands, or only those that start tasks. */
  disturbCommands(): void {
    const { cluster, faults, random } = this.context;
    const share = random.pick([0.3, 1]) ?? 0;
    const deliveryMode = random.pick(['hold', 'hold', 'copy', 'lose answer'] as const);
    const affectsOnlyStarts = random.chance(0.5);
    const isAffected = (body: unknown): boolean =>
      !affectsOnlyStarts || JSON.stringify(body).includes('"run"');
    const removeRule = cluster.network.rule(({ path, body }) =>
      path === '/do' && isAffected(body) && random.chance(share) ? deliveryMode : undefined,
    );
    const description = `${affectsOnlyStarts ? 'start commands' : 'commands'}: ${deliveryMode} ${share}`;
    faults.start(description, random.between(500, 9_000), () => {
      removeRule();
      cluster.network.releaseHeld();
    });
  }
}
