/** @file Format of the samples of records and peer messages in test/data. */
/** A record as it is stored in the key-value store. */
export interface RecordSample {
  key: string;
  value: unknown;
  /** Whether the record is deleted when its writer's lease ends. */
  isHeldByLease: boolean;
}

/** A peer message: its bytes, and the message decoded from them. */
export interface PeerSample {
  base64: string;
  message: unknown;
}

/** The completed tasks of a job, and the encoded chunks of its bitmap. */
export interface BitmapSample {
  tasks: number;
  done: number[];
  /** The encoded text of each chunk. */
  chunks: string[];
}

export interface Samples {
  records: RecordSample[];
  peerMessages: PeerSample[];
}

/** The pattern of a record's key: ids and numbers are replaced by placeholders. */
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
