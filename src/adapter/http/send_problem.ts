import type {ServerResponse} from 'node:http';
import type {Problem} from './problem.js';
import {problemDocument} from './problem_document.js';

/** Sends a problem document as the response. */
export function sendProblem(res: ServerResponse, problem: Problem): void {
  if (res.headersSent || res.destroyed) return;
  const {headers, body} = problemDocument(problem);
  res.writeHead(problem.status, headers);
  res.end(body);
}
