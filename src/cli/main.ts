#!/usr/bin/env node
import {runCli} from './run_cli.js';

process.exitCode = await runCli(process.argv.slice(2), {
  env: process.env,
  isTerminal: process.stderr.isTTY === true,
  stdin: process.stdin,
  out: text => void process.stdout.write(text),
  err: text => void process.stderr.write(text),
});
