/** @file Formats the response to `GET /peers` as a human-readable table. */
import type { PeerRow, PeersReport } from '../suspicion/peers-report';

const HEADINGS = ['FROM', 'PEER', 'STATUS', 'WHY', 'FOR', 'HEARD', 'RUN', 'INC', 'PHI'] as const;
const COLUMN_GAP = '  ';
const MS_PER_S = 1_000;

function seconds(ms: number | null): string {
  return ms === null ? '-' : `${(ms / MS_PER_S).toFixed(1)} s`;
}

function cellsOf(row: PeerRow): string[] {
  return [
    row.from,
    row.peer,
    row.status,
    row.reason === 'none' ? '-' : row.reason,
    seconds(row.forMs),
    row.heardMsAgo === null ? 'never' : `${seconds(row.heardMsAgo)} ago`,
    String(row.run),
    String(row.incarnation),
    row.phi === null ? '-' : String(row.phi),
  ];
}

/** A line with the state of the controller that sent the report. */
function summaryLine(report: PeersReport): string {
  const { node, run, incarnation, stalls, isStalled, suspectedForMs } = report;
  const suspected = suspectedForMs === null ? '' : `, suspected by most for ${seconds(suspectedForMs)}`;
  return `${node}: run ${run}, incarnation ${incarnation}, stalls ${stalls}${isStalled ? ' (stalled)' : ''}${suspected}`;
}

/** Formats the report as aligned columns, with one line for each controller's opinion on a peer. */
export function peersTable(report: PeersReport): string {
  const lines = [[...HEADINGS], ...report.rows.map(cellsOf)];
  const widths = HEADINGS.map((_, column) => Math.max(...lines.map((line) => line[column]?.length ?? 0)));
  const table = lines.map((line) =>
    line
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join(COLUMN_GAP)
      .trimEnd(),
  );
  return [summaryLine(report), '', ...table].join('\n');
}
