import type {PublishedDocument} from '../core/config/published_document.js';
import type {RoutingTable} from '../core/routing/routing_table.js';
import {decodeConfig} from './decode_config.js';

/** The queues of the newest document, each decoded once. */
export class RoutingTableCache {
  private table: RoutingTable | undefined;
  private unreadable: number | undefined;

  constructor(
    private readonly newest: () => PublishedDocument | undefined,
    private readonly onUnreadable: (revision: number, detail: string) => void,
  ) {}

  /** Undefined before the first document. */
  get(): RoutingTable | undefined {
    const document = this.newest();
    if (!document) return undefined;
    const {revision, content} = document;
    if (this.table?.content.revision === revision) return this.table;
    if (this.unreadable === revision) return this.table;
    const decoded = decodeConfig(JSON.parse(content));
    if (decoded.isOk) this.table = decoded.value;
    else {
      this.unreadable = revision;
      this.onUnreadable(revision, decoded.error);
    }
    return this.table;
  }
}
