import type {IncomingMessage, ServerResponse} from 'node:http';
import * as v from 'valibot';
import {ClassConfig} from '../../core/config/class_config.js';
import {TenantConfig} from '../../core/config/tenant_config.js';
import {RunOutcome} from '../../core/job/run_outcome.js';
import type {ConfigAdmin} from '../../daemon/admin/config_admin.js';
import type {ConfigEdit} from '../../daemon/admin/config_edit.js';
import type {DaemonStatus} from '../../daemon/admin/daemon_status.js';
import type {UpstreamStatus} from '../../daemon/admin/upstream_status.js';
import type {HistogramSummary} from '../metrics/histogram_summary.js';
import {AdminChanges} from './admin_changes.js';
import type {JsonBodyReader} from './json_body_reader.js';
import {sendJson} from './send_json.js';
import {sendProblem} from './send_problem.js';
import {watchCaller} from './watch_caller.js';
import {VoterRequest} from './voter_request.js';
import {ZoneRequest} from './zone_request.js';

const MAX_BODY_BYTES = 64 * 1024;

interface AdminApiOptions {
  readonly config: ConfigAdmin;
  readonly status: () => DaemonStatus;
  readonly upstreams: () => readonly UpstreamStatus[];
  readonly histograms: () => readonly HistogramSummary[];
  /** Starts a graceful shutdown of the daemon. */
  readonly drain: () => void;
}

const SECTIONS = {
  classes: {validator: ClassConfig, kind: 'class'},
  tenants: {validator: TenantConfig, kind: 'tenant'},
} as const;

type Section = keyof typeof SECTIONS;

/** HTTP API for operators. */
export class AdminApi {
  constructor(private readonly opts: AdminApiOptions) {}

  /** `GET /v1/classes`, `GET /v1/tenants` */
  list(res: ServerResponse, section: Section): void {
    const config = this.opts.config.read();
    const {version} = config;
    const entries = Object.values(config[section]);
    sendJson(res, 200, {version, [section]: entries}, etagHeader(version));
  }

  /** `GET /v1/classes/NAME`, `GET /v1/tenants/NAME` */
  get(res: ServerResponse, section: Section, name: string): void {
    const config = this.opts.config.read();
    const entries: Readonly<Record<string, object>> = config[section];
    const entry = Object.hasOwn(entries, name) ? entries[name] : undefined;
    if (entry) return sendJson(res, 200, entry, etagHeader(config.version));
    const detail = `there is no ${SECTIONS[section].kind} "${name}"`;
    const outcome = RunOutcome.notRun;
    sendProblem(res, {status: 404, code: 'not_found', outcome, detail});
  }

  /** `PUT /v1/classes/NAME`, `PUT /v1/tenants/NAME` */
  async put(
    req: IncomingMessage,
    res: ServerResponse,
    bodies: JsonBodyReader,
    section: Section,
    name: string,
  ): Promise<void> {
    const body = await bodies.read(req, MAX_BODY_BYTES);
    if (body.isErr) return refuse(res, body.error.detail, body.error.status);
    if (!isObject(body.value)) return refuse(res, 'the body must be an object');
    if ((body.value['name'] ?? name) !== name) {
      return refuse(res, 'name: differs from the name in the path');
    }
    const value = {...body.value, name};
    const {validator, kind} = SECTIONS[section];
    const parsed = v.safeParse(validator, value);
    if (!parsed.success) return refuse(res, issuesOf(parsed.issues));
    const edit = {kind: `set_${kind}`, value: parsed.output} as ConfigEdit;
    await this.change(req, res, edit);
  }

  /** `DELETE /v1/classes/NAME`, `DELETE /v1/tenants/NAME` */
  async remove(
    req: IncomingMessage,
    res: ServerResponse,
    section: Section,
    name: string,
  ): Promise<void> {
    const {kind} = SECTIONS[section];
    await this.change(req, res, {kind: `delete_${kind}`, name});
  }

  /** `GET /v1/status` */
  async status(res: ServerResponse): Promise<void> {
    const {inForce} = await this.opts.config.status();
    sendJson(res, 200, {...this.opts.status(), config_in_force: inForce});
  }

  /** `GET /v1/upstreams` */
  upstreams(res: ServerResponse): void {
    sendJson(res, 200, {upstreams: this.opts.upstreams()});
  }

  /** `GET /v1/histograms` */
  histograms(res: ServerResponse): void {
    sendJson(res, 200, {histograms: this.opts.histograms()});
  }

  /** `POST /v1/drain` */
  drain(res: ServerResponse): void {
    sendJson(res, 202, {draining: true});
    this.opts.drain();
  }

  /** `GET /v1/zones` */
  zones(res: ServerResponse): void {
    const {config} = this.opts;
    const {version} = config.read();
    const zones = config.zones().map(({zone, isEvacuated}) => {
      return {name: zone, evacuated: isEvacuated};
    });
    sendJson(res, 200, {version, zones}, etagHeader(version));
  }

  /**
   * `PUT /v1/zones/NAME`. Needs no version or idempotency key, since a repeated
   * order changes nothing.
   */
  async putZone(
    req: IncomingMessage,
    res: ServerResponse,
    bodies: JsonBodyReader,
    name: string,
  ): Promise<void> {
    const body = await bodies.read(req, MAX_BODY_BYTES);
    if (body.isErr) return refuse(res, body.error.detail, body.error.status);
    const parsed = v.safeParse(ZoneRequest, body.value);
    if (!parsed.success) return refuse(res, issuesOf(parsed.issues));
    const {evacuated} = parsed.output;
    const {config} = this.opts;
    const isWanted = watchCaller(res);
    const outcome = await config.evacuate(name, evacuated, isWanted);
    AdminChanges.sendOutcome(res, outcome);
  }

  /** `GET /v1/voters` */
  async voters(res: ServerResponse): Promise<void> {
    const status = await this.opts.config.status();
    const {version, leader = null, voters} = status;
    sendJson(res, 200, {version, leader, voters}, etagHeader(version));
  }

  /** `POST /v1/voters` */
  async changeVoters(
    req: IncomingMessage,
    res: ServerResponse,
    bodies: JsonBodyReader,
  ): Promise<void> {
    const body = await bodies.read(req, MAX_BODY_BYTES);
    if (body.isErr) return refuse(res, body.error.detail, body.error.status);
    const parsed = v.safeParse(VoterRequest, body.value);
    if (!parsed.success) return refuse(res, issuesOf(parsed.issues));
    const headers = AdminChanges.parseHeaders(req);
    if (headers.isErr) return sendProblem(res, headers.error);
    const change = {...headers.value, ...parsed.output};
    AdminChanges.sendOutcome(res, await this.opts.config.changeVoters(change));
  }

  private async change(
    req: IncomingMessage,
    res: ServerResponse,
    edit: ConfigEdit,
  ): Promise<void> {
    const headers = AdminChanges.parseHeaders(req);
    if (headers.isErr) return sendProblem(res, headers.error);
    const change = {...headers.value, edit};
    AdminChanges.sendOutcome(res, await this.opts.config.change(change));
  }
}

function etagHeader(version: number): Record<string, string> {
  return {etag: `"${version}"`};
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function refuse(res: ServerResponse, detail: string, status = 400): void {
  const outcome = RunOutcome.notRun;
  sendProblem(res, {status, code: 'invalid', outcome, detail});
}

function issuesOf(issues: readonly v.BaseIssue<unknown>[]): string {
  return issues
    .map(issue => `${v.getDotPath(issue) ?? 'body'}: ${issue.message}`)
    .join('; ');
}
