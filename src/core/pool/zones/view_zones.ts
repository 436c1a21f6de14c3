import type {NodeDirectory} from '../node/node_directory.js';
import type {WorkerRegistry} from '../registry/worker_registry.js';
import type {ZoneView} from './zone_view.js';

interface ViewZonesOptions {
  readonly node: string;
  /** Zone of this node, which is always heard. */
  readonly zone: string;
  readonly directory: NodeDirectory;
  readonly registry: WorkerRegistry;
}

interface Draft {
  workers: number;
  heardAt: number;
  readonly cores: ZoneView['cores'][number][];
}

/** Collects what a core node knows of each zone. */
export function viewZones(opts: ViewZonesOptions, now: number): ZoneView[] {
  const {node, directory, registry} = opts;
  const drafts = new Map<string, Draft>();
  const draftOf = (zone: string): Draft => {
    const known = drafts.get(zone);
    if (known) return known;
    const heardAt = zone === opts.zone ? now : Number.NEGATIVE_INFINITY;
    const draft = {workers: 0, heardAt, cores: []};
    drafts.set(zone, draft);
    return draft;
  };
  for (const {report} of registry.entries.values()) {
    draftOf(report.zone).workers += 1;
  }
  for (const role of ['core', 'entry'] as const) {
    for (const id of directory.seenIds(role, now)) {
      const zone = directory.zoneOf(id);
      if (zone === undefined || id === node) continue;
      const seenAt = directory.seenAt(role, id);
      const draft = draftOf(zone);
      draft.heardAt = Math.max(draft.heardAt, seenAt);
      if (role === 'entry') continue;
      draft.cores.push({
        id,
        seenAt,
        startedAt: directory.startedAt(id),
        knownSince: directory.knownSince(id),
        isDraining: !directory.isRelay(id),
      });
    }
  }
  for (const zone of directory.claims.zoneTokens.keys()) draftOf(zone);
  return [...drafts].map(([zone, draft]) => {
    return {zone, ...draft, claim: directory.claims.holderOf(zone)};
  });
}
