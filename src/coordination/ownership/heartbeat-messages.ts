/** @file Splits a controller's heartbeat to its peers into messages of bounded size. */
import type { JobProgress, PeerHeartbeat, PeerMessage } from '../../protocol/peers';

/** Maximum number of jobs in one message, which keeps the message well below the frame size limit of peers. */
export const JOBS_PER_MESSAGE = 2_000;

/** Splits the heartbeat into messages. A heartbeat without jobs is one message, because peers need it even then. */
export function heartbeatMessages(
  state: Omit<PeerHeartbeat, 'jobs'>,
  jobs: readonly JobProgress[],
): PeerMessage[] {
  const messages: PeerMessage[] = [];
  for (let from = 0; from === 0 || from < jobs.length; from += JOBS_PER_MESSAGE) {
    const heartbeat = { ...state, jobs: jobs.slice(from, from + JOBS_PER_MESSAGE) };
    messages.push({ kind: 'heartbeat', heartbeat });
  }
  return messages;
}
