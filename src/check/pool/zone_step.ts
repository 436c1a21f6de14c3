import type {PoolMessage} from '../../core/pool/node/pool_message.js';

/** One step of a generated history of a deployment with zones, after `waitMs`. */
export type ZoneStep = {readonly waitMs: number} &
  /** A core node ends without notice; another process starts later. */
  (
    | {readonly kind: 'kill'; readonly core: number; readonly forMs: number}
    /** A core node is suspended. */
    | {readonly kind: 'suspend'; readonly core: number; readonly forMs: number}
    /** A core node is stopped as planned; another process starts later. */
    | {readonly kind: 'drain'; readonly core: number; readonly forMs: number}
    /** The callers of a zone send many wide jobs at once. */
    | {readonly kind: 'burst'; readonly zone: number; readonly jobs: number}
    /** All links between a zone and the others are cut. */
    | {readonly kind: 'cut_zone'; readonly zone: number; readonly forMs: number}
    /** The links between two core nodes are cut. */
    | {
        readonly kind: 'cut_cores';
        readonly core: number;
        readonly other: number;
        readonly forMs: number;
      }
    /** A core node loses the other core nodes and each second worker. */
    | {
        readonly kind: 'cut_workers';
        readonly core: number;
        readonly parity: number;
        readonly forMs: number;
      }
    /** A core node loses all entry nodes. */
    | {
        readonly kind: 'cut_entries';
        readonly core: number;
        readonly forMs: number;
      }
    /** An entry node ends without notice; another process starts later. */
    | {
        readonly kind: 'kill_entry';
        readonly entry: number;
        readonly forMs: number;
      }
    /** An entry node is suspended. */
    | {
        readonly kind: 'suspend_entry';
        readonly entry: number;
        readonly forMs: number;
      }
    /** The connections of all callers of an entry node break, or of all nodes. */
    | {
        readonly kind: 'disconnect';
        readonly entry: number;
        readonly isAll: boolean;
      }
    /** An entry node loses all nodes and workers. */
    | {
        readonly kind: 'cut_entry';
        readonly entry: number;
        readonly forMs: number;
      }
    /** Nothing that a zone sends arrives elsewhere, or the other way round. */
    | {
        readonly kind: 'cut_one_way';
        readonly zone: number;
        readonly isOutward: boolean;
        readonly forMs: number;
      }
    /** A node handles everything only every `lagMs`. */
    | {
        readonly kind: 'starve';
        readonly isCore: boolean;
        readonly node: number;
        readonly lagMs: number;
        readonly forMs: number;
      }
    /** The machine of a node is suspended, and its steady clock stands still. */
    | {
        readonly kind: 'suspend_machine';
        readonly isCore: boolean;
        readonly node: number;
        readonly forMs: number;
      }
    /** All messages from and to a core node are delayed. */
    | {
        readonly kind: 'slow_link';
        readonly core: number;
        readonly delayMs: number;
        readonly forMs: number;
      }
    /** Some of the orders to workers are lost, late or not answered. */
    | {
        readonly kind: 'faulty_orders';
        readonly fault: 'order_lost' | 'answer_lost' | 'late';
        /** One in this many orders is concerned. */
        readonly every: number;
        readonly lateMs: number;
        readonly forMs: number;
      }
    /** Messages of a kind between nodes are lost. */
    | {
        readonly kind: 'lose_messages';
        readonly message:
          'submit' | Exclude<keyof typeof PoolMessage, 'presence'>;
        /** One in this many messages of the kind is lost. */
        readonly every: number;
        readonly forMs: number;
      }
    /** Orders of a kind to the workers of a zone are lost, or the replies. */
    | {
        readonly kind: 'lose_orders';
        readonly call: 'start' | 'stop' | 'look';
        readonly fault: 'order_lost' | 'answer_lost';
        /** Zone of the workers; null for all zones. */
        readonly zone: number | null;
        readonly forMs: number;
      }
    /** All messages to a node arrive late while its timers run on time. */
    | {
        readonly kind: 'backlog';
        readonly isCore: boolean;
        readonly node: number;
        readonly delayMs: number;
        readonly forMs: number;
      }
    /** All core nodes end without notice; other processes start later. */
    | {
        readonly kind: 'lose_cores';
        readonly forMs: number;
        /**
         * Zone whose workers cannot reach the core nodes for a second after that;
         * null for none.
         */
        readonly zone: number | null;
      }
    /** Workers crash; others start under their ids. */
    | {readonly kind: 'crash_workers'; readonly every: number}
  );
