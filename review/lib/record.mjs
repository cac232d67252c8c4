import {appendFileSync, writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';
import process from 'node:process';

/** Writes what was sent, answered and run to `record.txt` of a case. */
export class Record {
  #path;
  #startedAt = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  /** Milliseconds since the start of the case. */
  now() {
    return performance.now() - this.#startedAt;
  }

  write(text) {
    const line = `${(this.now() / 1_000).toFixed(3)} ${text}\n`;
    appendFileSync(this.#path, line);
    if (process.env.VERBOSE) process.stdout.write(line);
  }
}
