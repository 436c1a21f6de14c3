/** Requests with more header lines are refused. */
export const MAX_HEADER_LINES = 100;
