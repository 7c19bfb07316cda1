/** @file Logs the resource usage of the process, for operators to compare with its quota. */
import { getHeapStatistics } from 'node:v8';
import { systemClock } from '../base/clock';
import type { Log } from '../base/log';
import type { Controller } from '../coordination/controller';
import type { Connections } from '../transport/connections';

const USAGE_INTERVAL_MS = 10_000;
const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MB = 1024 * 1024;

/** Measures the usage over one interval, and logs it with the counts of refused messages; run in a loop. */
export async function reportUsage(log: Log, connections: Connections, controller: Controller): Promise<void> {
  const cpuBefore = process.cpuUsage();
  const startedAt = systemClock.now();
  await systemClock.sleep(USAGE_INTERVAL_MS);
  const { user, system } = process.cpuUsage(cpuBefore);
  const { rss, heapUsed } = process.memoryUsage();
  const cpuMs = (user + system) / MICROSECONDS_PER_MS;
  const usage = {
    cpu: Number((cpuMs / (systemClock.now() - startedAt)).toFixed(3)),
    memoryMb: Math.round(rss / BYTES_PER_MB),
    heapMb: Math.round(heapUsed / BYTES_PER_MB),
    heapLimitMb: Math.round(getHeapStatistics().heap_size_limit / BYTES_PER_MB),
    recordsMb: Math.round(controller.memory.usedBytes / BYTES_PER_MB),
    recordsLimitMb: Math.round(controller.memory.limitBytes / BYTES_PER_MB),
    connections: connections.size,
    workers: connections.workers,
    lateMs: Math.round(controller.eventLoopDelay.delayMs),
  };
  log.info(usage, 'usage');
  controller.refusedMessages.report();
}
