/** One step of a change to the data folder; files are named within it. */
export type DiskOp =
  /** Appends to a file and creates it if it is absent. */
  | {readonly op: 'append'; readonly file: string; readonly bytes: Uint8Array}
  /** Makes the content of a file durable. */
  | {readonly op: 'sync'; readonly file: string}
  | {readonly op: 'rename'; readonly file: string; readonly to: string}
  /** Removes a file; one that is absent is no error. */
  | {readonly op: 'remove'; readonly file: string}
  /** Makes names that were created, renamed or removed durable. */
  | {readonly op: 'sync_folder'};
