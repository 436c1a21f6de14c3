import type {PublishedDocument} from '../core/config/published_document.js';
import type {RoutingTable} from '../core/routing/routing_table.js';
import {decodeConfig} from './decode_config.js';

/**
 * Routing table of the newest configuration document. Each document is decoded
 * once; an invalid one is reported and the previous table stays in use.
 */
export class RoutingTableCache {
  private table: RoutingTable | undefined;
  /** Revision of the last document that was reported as invalid. */
  private invalidRevision: number | undefined;

  constructor(
    private readonly getDocument: () => PublishedDocument | undefined,
    private readonly onInvalid: (revision: number, detail: string) => void,
  ) {}

  /** Undefined until the first valid document. */
  get(): RoutingTable | undefined {
    const document = this.getDocument();
    if (!document) return undefined;
    const {revision, content} = document;
    if (this.table?.content.revision === revision) return this.table;
    if (this.invalidRevision === revision) return this.table;
    const decoded = decodeConfig(JSON.parse(content));
    if (decoded.isOk) this.table = decoded.value;
    else {
      this.invalidRevision = revision;
      this.onInvalid(revision, decoded.error);
    }
    return this.table;
  }
}
