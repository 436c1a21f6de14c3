import {Result} from 'true-myth';
import * as v from 'valibot';
import {ClassConfig} from '../class_config.js';
import type {Config} from '../config.js';
import type {Disk} from '../storage/disk.js';
import type {DiskError} from '../storage/disk_error.js';
import {FrameFile} from '../storage/frame_file.js';
import {PublishedDocument} from '../published_document.js';
import {TenantConfig} from '../tenant_config.js';
import {ZoneNames} from '../zone_names.js';

const FILE_NAME = 'applied';
const TEMPORARY_FILE_NAME = 'applied.tmp';

const StoredConfig = v.object({
  log: v.string(),
  config: v.object({
    version: v.number(),
    classes: v.record(v.string(), ClassConfig),
    tenants: v.record(v.string(), TenantConfig),
    document: v.optional(PublishedDocument),
    evacuated: v.optional(ZoneNames),
  }),
});

type StoredConfig = v.InferOutput<typeof StoredConfig>;

/**
 * Stores the configuration in force, so that a restarted node does not return
 * to an older version.
 */
export class AppliedConfigFile {
  constructor(private readonly disk: Disk) {}

  /** Reads the stored configuration; undefined if there is none yet. */
  load(): Result<StoredConfig | undefined, string> {
    const names = this.disk.list();
    if (names.isErr) return Result.err(names.error.detail);
    if (!names.value.includes(FILE_NAME)) return Result.ok(undefined);
    const bytes = this.disk.read(FILE_NAME);
    if (bytes.isErr) return Result.err(bytes.error.detail);
    const content = FrameFile.parse(FILE_NAME, FILE_NAME, bytes.value);
    if (content.isErr) return Result.err(content.error);
    const parsed = v.safeParse(StoredConfig, content.value.payloads[0]);
    return parsed.success
      ? Result.ok(parsed.output)
      : Result.err(`${FILE_NAME}: the content is corrupt`);
  }

  write(
    log: string,
    config: Config,
    done: (result: Result<void, DiskError>, now: number) => void,
  ): void {
    const bytes = Buffer.concat([
      FrameFile.header(FILE_NAME, log),
      FrameFile.frame({log, config}),
    ]);
    this.disk.run(
      [
        {op: 'remove', file: TEMPORARY_FILE_NAME},
        {op: 'append', file: TEMPORARY_FILE_NAME, bytes},
        {op: 'sync', file: TEMPORARY_FILE_NAME},
        {op: 'rename', file: TEMPORARY_FILE_NAME, to: FILE_NAME},
        {op: 'sync_folder'},
      ],
      done,
    );
  }
}
