import {Result} from 'true-myth';
import * as v from 'valibot';
import {LogEntry} from '../log/log_entry.js';
import {LogSnapshot} from '../log/log_snapshot.js';
import type {Disk} from './disk.js';
import type {DiskOp} from './disk_op.js';
import {FrameFile} from './frame_file.js';
import {VoteState} from './vote_state.js';

const SEGMENT_PATTERN = /^log-(\d{8})$/;
const SNAPSHOT_FILE = 'snapshot';
const TEMPORARY_SUFFIX = '.tmp';

const LogRecord = v.variant('kind', [
  /** Replaces the vote state of earlier records. */
  v.object({kind: v.literal('hard'), hard: VoteState}),
  v.object({kind: v.literal('entry'), entry: LogEntry}),
  /** Truncates the log: removes the entries from this index on. */
  v.object({kind: v.literal('cut'), from: v.number()}),
]);

type LogRecord = v.InferOutput<typeof LogRecord>;

interface StoredLog {
  readonly storage: string;
  readonly sequence: number;
  readonly voteState: VoteState;
  readonly snapshot: LogSnapshot | undefined;
  readonly entries: LogEntry[];
}

/**
 * Files of the log: `snapshot` and segments `log-NNNNNNNN`. The first batch of
 * a segment repeats the vote state and all entries after the snapshot. A
 * segment gets its name only after this batch is synced, so the segment with
 * the highest number is always complete.
 */
export class LogFiles {
  private sequence = 0;
  private segments: string[] = [];

  constructor(private readonly disk: Disk) {}

  /** Reads the log from the data folder; undefined if there is none. */
  load(): Result<StoredLog | undefined, string> {
    const names = this.disk.list();
    if (names.isErr) return Result.err(names.error.detail);
    this.segments = names.value.filter(n => SEGMENT_PATTERN.test(n)).sort();
    const file = this.segments.at(-1);
    if (file === undefined) {
      return names.value.includes(SNAPSHOT_FILE)
        ? Result.err(`${SNAPSHOT_FILE}: found a snapshot but no log segment`)
        : Result.ok(undefined);
    }
    this.sequence = Number(SEGMENT_PATTERN.exec(file)![1]);
    const snapshot = names.value.includes(SNAPSHOT_FILE)
      ? this.loadSnapshot()
      : Result.ok<LogSnapshot | undefined, string>(undefined);
    if (snapshot.isErr) return Result.err(snapshot.error);
    return this.loadSegment(file, snapshot.value);
  }

  /** Operations that write a new segment and, if given, a snapshot. */
  rewrite(
    storage: string,
    voteState: VoteState,
    entries: readonly LogEntry[],
    snapshot: LogSnapshot | undefined,
  ): DiskOp[] {
    const ops: DiskOp[] = [];
    if (snapshot) {
      const content = Buffer.concat([
        FrameFile.header('snapshot', storage),
        FrameFile.frame(snapshot),
      ]);
      ops.push(...this.replaceFile(SNAPSHOT_FILE, content));
    }
    this.sequence += 1;
    const file = `log-${String(this.sequence).padStart(8, '0')}`;
    const base = Buffer.concat([
      FrameFile.header('log', storage),
      this.encodeBatch([
        {kind: 'hard', hard: voteState},
        ...entries.map(entry => ({kind: 'entry' as const, entry})),
      ]),
    ]);
    ops.push(...this.replaceFile(file, base));
    for (const old of this.segments) ops.push({op: 'remove', file: old});
    this.segments = [file];
    return ops;
  }

  /** Operations that append records to the current segment and sync it. */
  append(records: readonly LogRecord[]): DiskOp[] {
    const file = this.segments[0]!;
    const bytes = this.encodeBatch(records);
    return [
      {op: 'append', file, bytes},
      {op: 'sync', file},
    ];
  }

  private encodeBatch(records: readonly LogRecord[]): Uint8Array {
    return FrameFile.frame(records);
  }

  private replaceFile(file: string, bytes: Uint8Array): DiskOp[] {
    const temporary = `${file}${TEMPORARY_SUFFIX}`;
    return [
      {op: 'remove', file: temporary},
      {op: 'append', file: temporary, bytes},
      {op: 'sync', file: temporary},
      {op: 'rename', file: temporary, to: file},
      {op: 'sync_folder'},
    ];
  }

  private loadSnapshot(): Result<LogSnapshot | undefined, string> {
    const bytes = this.disk.read(SNAPSHOT_FILE);
    if (bytes.isErr) return Result.err(bytes.error.detail);
    const content = FrameFile.parse(SNAPSHOT_FILE, 'snapshot', bytes.value);
    if (content.isErr) return Result.err(content.error);
    const parsed = v.safeParse(LogSnapshot, content.value.payloads[0]);
    return parsed.success
      ? Result.ok(parsed.output)
      : Result.err(`${SNAPSHOT_FILE}: the content is corrupt`);
  }

  private loadSegment(
    file: string,
    snapshot: LogSnapshot | undefined,
  ): Result<StoredLog, string> {
    const bytes = this.disk.read(file);
    if (bytes.isErr) return Result.err(bytes.error.detail);
    const content = FrameFile.parse(file, 'log', bytes.value);
    if (content.isErr) return Result.err(content.error);
    const {storage, payloads} = content.value;
    const batches = v.safeParse(v.array(v.array(LogRecord)), payloads);
    if (!batches.success) return Result.err(`${file}: a record is corrupt`);
    const [first] = batches.output[0] ?? [];
    if (first?.kind !== 'hard') {
      return Result.err(`${file}: the first record is missing`);
    }
    let {hard: voteState} = first;
    const base = snapshot?.index ?? 0;
    let entries: LogEntry[] = [];
    for (const record of batches.output.flat()) {
      if (record.kind === 'hard') voteState = record.hard;
      else if (record.kind === 'cut') {
        entries = entries.filter(e => e.index < record.from);
      } else if (record.entry.index > base) entries.push(record.entry);
    }
    // Installing a snapshot writes two files; after a crash between them, the
    // old segment may contain entries that the snapshot has replaced.
    const term = snapshot?.term ?? 0;
    if (entries.some(e => e.term < term)) entries = [];
    const isGapless = entries.every((e, at) => e.index === base + 1 + at);
    if (!isGapless) return Result.err(`${file}: an entry index is missing`);
    const {sequence} = this;
    return Result.ok({storage, sequence, voteState, snapshot, entries});
  }
}
