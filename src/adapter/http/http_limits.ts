/** Bounds of an HTTP server. */
export interface HttpLimits {
  /** Connections at once; further ones are closed. Default 10,000. */
  readonly maxConnections?: number;
  /** Requests on one connection, after which it is closed. Default 100,000. */
  readonly maxRequestsPerConnection?: number;
  /** Time in which the header must come in. Default 5,000 ms. */
  readonly headersTimeoutMs?: number;
  /** Time in which a request must come in whole. Default 30,000 ms. */
  readonly requestTimeoutMs?: number;
  /** Time for which an idle connection is kept. Default 60,000 ms. */
  readonly keepAliveTimeoutMs?: number;
  /**
   * Time without any byte after which a connection is given up, so that a
   * client that reads no answer holds no memory. Default 90,000 ms: more than
   * the longest wait for an answer.
   */
  readonly socketTimeoutMs?: number;
}
