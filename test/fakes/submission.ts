/** @file A submission with values that work. */
/** A submission as users send it; whatever a scenario doesn't care for has a value that works. */
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
