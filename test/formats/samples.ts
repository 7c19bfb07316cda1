/** @file Samples of records and peer messages, as they are kept in test/data. */
/** A record as it lies in the state service. */
export interface RecordSample {
  key: string;
  value: unknown;
  /** Whether the record goes with the lease of its writer. */
  isHeldByLease: boolean;
}

/** A message between controllers: its bytes, and what its reader made of them. */
export interface PeerSample {
  base64: string;
  message: unknown;
}

/** The completions of a job, some of its tasks done, as the chunks of its bitmap. */
export interface BitmapSample {
  tasks: number;
  done: number[];
  /** The text of each chunk. */
  chunks: string[];
}

export interface Samples {
  records: RecordSample[];
  peerMessages: PeerSample[];
}

/** The kind of a record: its key, with what differs from one record to the next replaced by a name. */
export function keyPattern(key: string): string {
  const [head = '', kind = '', ...rest] = key.split('/');
  if (head === 'final') return `final/${kind.replace(/^req-\d+$/, 'JOB')}`;
  const parts = rest.map((part) =>
    part
      .replace(/^node-\d+$/, 'NODE')
      .replace(/^host-\d+$/, 'MACHINE')
      .replace(/^req-\d+$/, 'JOB')
      .replace(/^\d+$/, 'NUMBER'),
  );
  return [head, kind, ...parts].join('/');
}
