import type {Clock} from '../../core/clock/clock.js';
import type {Replicator} from '../../core/group/replicator.js';
import type {JobTable} from '../../core/job/job_table.js';
import {ZoneWorker} from '../../core/overflow/zone_worker.js';
import type {ZoneService} from '../zone/zone_service.js';
import type {ConfigAdmin} from './config_admin.js';
import type {DaemonStatus} from './daemon_status.js';
import type {UpstreamStatus} from './upstream_status.js';

interface StatusReportOptions {
  readonly node: {readonly id: string; readonly zone: string};
  readonly clock: Clock;
  readonly zone: ZoneService;
  readonly replicator: Replicator;
  readonly table: JobTable;
  readonly config: ConfigAdmin;
  readonly isReady: () => boolean;
  readonly isDraining: () => boolean;
}

/** Collects the status of a daemon and its workers for the admin API. */
export class StatusReport {
  private readonly startedAt: number;

  constructor(private readonly opts: StatusReportOptions) {
    this.startedAt = opts.clock.now();
  }

  status(): DaemonStatus {
    const {node, clock, zone, replicator} = this.opts;
    const {config} = this.opts;
    // Other zones are registered as workers while they lend spare slots. They are
    // left out, because those slots come and go with the load there.
    const workers = [...zone.registry.list()].filter(
      ({id}) => !ZoneWorker.isZone(id),
    );
    return {
      node: node.id,
      zone: node.zone,
      ready: this.opts.isReady(),
      draining: this.opts.isDraining(),
      uptime_ms: clock.now() - this.startedAt,
      leads: replicator.leadingEpoch !== undefined,
      dispatcher: replicator.leader ?? null,
      epoch: replicator.leadingEpoch ?? null,
      jobs: this.opts.table.size,
      queued_tasks: zone.dispatcher.queued,
      workers: workers.length,
      slots: sum(workers.map(worker => worker.announcement.slots)),
      slots_used: sum(workers.map(worker => worker.outstanding)),
      config_version: config.read().version,
      config_leader: config.leader ?? null,
    };
  }

  upstreams(): UpstreamStatus[] {
    const now = this.opts.clock.now();
    return [...this.opts.zone.registry.list()].map(worker => {
      const {announcement} = worker;
      return {
        worker: worker.id,
        incarnation: worker.incarnation,
        zone: announcement.zone,
        rack: announcement.rack,
        address: announcement.address,
        slots: announcement.slots,
        slots_used: worker.outstanding,
        memory_mb: announcement.memory_mb,
        accelerators: announcement.accelerators,
        classes: announcement.classes,
        leaving: announcement.leaving,
        lease_left_ms: Math.max(0, worker.leaseExpiresAt - now),
      };
    });
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
