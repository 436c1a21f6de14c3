/** Limits of an HTTP server. */
export interface HttpLimits {
  /**
   * Open connections; for a further one, an incomplete or idle one is closed. Default
   * 10,000.
   */
  readonly maxConnections?: number;
  /** Memory of all request bodies that are being received. Default 256 MiB. */
  readonly maxTotalBodyBytes?: number;
  /** Requests after which a connection is closed. Default 100,000. */
  readonly maxRequestsPerConnection?: number;
  /** Timeout for receiving the headers. Default 5,000 ms. */
  readonly headersTimeoutMs?: number;
  /** Timeout for receiving the complete request. Default 30,000 ms. */
  readonly requestTimeoutMs?: number;
  /** Time after which an idle connection is closed. Default 60,000 ms. */
  readonly keepAliveTimeoutMs?: number;
  /**
   * Time without data after which a connection is closed, so that a client
   * that does not read its response does not occupy memory. Default 90,000 ms,
   * which exceeds the longest wait for a response.
   */
  readonly socketTimeoutMs?: number;
}
