/** An operation on the data folder; file names are relative to it. */
export type DiskOp =
  /** Appends to a file and creates it if it is absent. */
  | {readonly op: 'append'; readonly file: string; readonly bytes: Uint8Array}
  /** Makes the content of a file durable. */
  | {readonly op: 'sync'; readonly file: string}
  | {readonly op: 'rename'; readonly file: string; readonly to: string}
  /** Removes a file; does nothing if it is absent. */
  | {readonly op: 'remove'; readonly file: string}
  /** Makes created, renamed and removed file names durable. */
  | {readonly op: 'sync_folder'};
