import {Result} from 'true-myth';
import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import type {Config} from '../config.js';
import type {Disk} from '../storage/disk.js';
import type {DiskError} from '../storage/disk_error.js';
import {FrameFile} from '../storage/frame_file.js';
import {PublishedDocument} from '../published_document.js';
import {TenantConfig} from '../tenant_config.js';

const FILE = 'applied';
const TEMPORARY = 'applied.tmp';

const Applied = v.object({
  log: v.string(),
  config: v.object({
    version: v.number(),
    classes: v.record(v.string(), ClassConfig),
    tenants: v.record(v.string(), TenantConfig),
    document: v.optional(PublishedDocument),
  }),
});

type Applied = v.InferOutput<typeof Applied>;

/** The configuration in force, kept so that a restart does not go back. */
export class AppliedFile {
  constructor(private readonly disk: Disk) {}

  /** Undefined if there is none yet. */
  load(): Result<Applied | undefined, string> {
    const names = this.disk.list();
    if (names.isErr) return Result.err(names.error.detail);
    if (!names.value.includes(FILE)) return Result.ok(undefined);
    const bytes = this.disk.read(FILE);
    if (bytes.isErr) return Result.err(bytes.error.detail);
    const content = FrameFile.parse(FILE, FILE, bytes.value);
    if (content.isErr) return Result.err(content.error);
    const parsed = v.safeParse(Applied, content.value.payloads[0]);
    return parsed.success
      ? Result.ok(parsed.output)
      : Result.err(`${FILE}: the content is corrupt`);
  }

  write(
    log: string,
    config: Config,
    done: (result: Result<void, DiskError>, now: number) => void,
  ): void {
    const bytes = Buffer.concat([
      FrameFile.header(FILE, log),
      FrameFile.frame({log, config}),
    ]);
    this.disk.run(
      [
        {op: 'remove', file: TEMPORARY},
        {op: 'append', file: TEMPORARY, bytes},
        {op: 'sync', file: TEMPORARY},
        {op: 'rename', file: TEMPORARY, to: FILE},
        {op: 'sync_folder'},
      ],
      done,
    );
  }
}
