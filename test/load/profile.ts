/** @file Computes the shares of modules and functions in a process's processor time from its CPU profile. */
import { readFileSync } from 'node:fs';

interface CallFrame {
  functionName: string;
  url: string;
  lineNumber: number;
}

interface CpuProfile {
  nodes: { id: number; callFrame: CallFrame }[];
  samples: number[];
  timeDeltas: number[];
}

/** Categories of processor time, by patterns of module names and the runtime's own names; the first match counts. */
const PARTS: readonly [string, RegExp][] = [
  ['collection', /^\(garbage collector\)$/],
  ['idle', /^\(idle\)$/],
  ['system calls, compilation, other native', /^\(program\)$|^\(native\)/],
  ['MessagePack', /@msgpack|protocol\/codec/],
  ['peer link', /protobufjs|protocol\/peers|peer-link/],
  ['schema checks', /node_modules\/zod|src\/protocol/],
  ['HTTP and sockets', /^node:|fastify|find-my-way|node_modules|src\/transport|routes/],
  ['records and watch', /src\/bookkeeping/],
  ['placing and scaling', /coordination\/(scheduling|autoscaling)|run-time-estimates|dispatch-table/],
  ['heartbeats and commands', /src\/coordination/],
  ['other of ours', /src\//],
];

/** The module of each line of the bundle: esbuild starts each module with a comment that names it. */
function modulesOf(bundle: string): string[] {
  let current = 'bundle';
  return readFileSync(bundle, 'utf8')
    .split('\n')
    .map((line) => {
      const named = /^\s*\/\/ ((?:src|node_modules)\/\S+)$/.exec(line);
      if (named?.[1] !== undefined) current = named[1];
      return current;
    });
}

export interface ProfileShares {
  /** Processor time in milliseconds, without idle time. */
  busyMs: number;
  parts: Map<string, number>;
  functions: Map<string, number>;
}

/** The shares of self time between two times, in milliseconds from the start of the profile. */
export function sharesOf(file: string, bundle: string, fromMs: number, toMs: number): ProfileShares {
  const profile = JSON.parse(readFileSync(file, 'utf8')) as CpuProfile;
  const modules = modulesOf(bundle);
  const named = new Map<number, { part: string; name: string }>();
  for (const { id, callFrame: f } of profile.nodes) {
    const ours = f.url.endsWith('/program.js');
    const where = ours ? (modules[f.lineNumber] ?? 'bundle') : f.url;
    const key =
      where === '' ? (f.functionName.startsWith('(') ? f.functionName : `(native)${f.functionName}`) : where;
    const part = PARTS.find(([, pattern]) => pattern.test(key))?.[0] ?? 'other';
    named.set(id, { part, name: `${f.functionName || '(anonymous)'} ${where}` });
  }
  const parts = new Map<string, number>();
  const functions = new Map<string, number>();
  let atMs = 0;
  let busyMs = 0;
  profile.samples.forEach((id, index) => {
    const spentMs = (profile.timeDeltas[index] ?? 0) / 1000;
    atMs += spentMs;
    const what = named.get(id);
    if (!what || atMs < fromMs || atMs > toMs || what.part === 'idle') return;
    busyMs += spentMs;
    parts.set(what.part, (parts.get(what.part) ?? 0) + spentMs);
    functions.set(what.name, (functions.get(what.name) ?? 0) + spentMs);
  });
  return { busyMs, parts, functions };
}
