#!/usr/bin/env node
/** The cardamomfield command as a process. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {SystemClock} from '@cardamomfield/clock';
import {runCommandLine} from './run_command_line.js';
import {startEntryHost} from './start_entry_host.js';

const interrupted = new AbortController();
const commandLine = process.argv.slice(2);

// The daemon installs its own signal handlers.
if (commandLine[0] !== 'entry') {
  process.once('SIGINT', () => interrupted.abort());
}

process.exitCode = await runCommandLine(commandLine, {
  environment: process.env,
  clock: SystemClock.create(),
  signal: interrupted.signal,
  writeLine: line => process.stdout.write(`${line}\n`),
  writeErrorLine: line => process.stderr.write(`${line}\n`),
  readFile: path => readFile(path, 'utf8'),
  createKey: randomUUID,
  runEntryHost: startEntryHost,
});
