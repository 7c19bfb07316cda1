/** @file Delayed and duplicated messages between controllers and workers in the randomized simulation. */
import { CONTROLLERS, type SimulationContext } from './context';

/** How often it is looked whether there is a new owner that the copies of reports can be sent to. */
const OWNER_CHECK_MS = 50;
const MAX_OWNER_CHECKS = 600;

/** Delays and duplicates reports and commands. */
export class MessageFaults {
  constructor(private readonly context: SimulationContext) {}

  /** Copies of reports arrive late: after a fixed time, or as soon as another controller owns the shard. */
  replayHeartbeats(): void {
    const { cluster, faults, random } = this.context;
    const share = random.pick([0.2, 1]) ?? 0;
    const forMs = random.between(1_000, 8_000);
    const copies = cluster.captureHeartbeats(() => random.chance(share));
    const afterMs = random.between(2_000, 25_000);
    const isForNextOwner = random.chance(0.5);
    const oldOwner = cluster.owner;
    const replay = (): void => {
      this.context.note('copies of reports arrive');
      for (const index of CONTROLLERS) if (this.context.isAlive(index)) copies.replay(index);
    };
    faults.start(`reports are captured: ${share}`, forMs, () => {
      copies.stop();
      if (isForNextOwner) {
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

  /** Commands, or starts only, are held up, duplicated or unanswered. */
  disturbCommands(): void {
    const { cluster, faults, random } = this.context;
    const share = random.pick([0.3, 1]) ?? 0;
    const fate = random.pick(['hold', 'hold', 'copy', 'lose answer'] as const);
    const isStartsOnly = random.chance(0.5);
    const isMeant = (body: unknown): boolean => !isStartsOnly || JSON.stringify(body).includes('"run"');
    const remove = cluster.network.rule(({ path, body }) =>
      path === '/do' && isMeant(body) && random.chance(share) ? fate : undefined,
    );
    const description = `${isStartsOnly ? 'starts' : 'commands'}: ${fate} ${share}`;
    faults.start(description, random.between(500, 9_000), () => {
      remove();
      cluster.network.releaseHeld();
    });
  }
}
