/** @file A valid submission for tests. */
/** A submission as users send it, with valid defaults for all fields that a test doesn't set. */
export function submission(id: string, fields: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    nameId: id,
    docket: 'batch',
    crew: 'blue',
    shape: 'sweep',
    urgency: 'normal',
    pieces: 1,
    cpus: 1,
    cards: 0,
    memGb: 1,
    build: 'img-1',
    sizeGb: 1,
    frames: null,
    yard: null,
    together: false,
    apart: false,
    loaners: true,
    reckonS: 5,
    bookmarkS: 0,
    stashS: 0,
    dueS: null,
    ...fields,
  };
}
