// Prints the tests that are expected to fail, and stops the build if one of them
// has no entry in KNOWN-RED.txt.
import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';

const EXPECTED_FAILURE = /\b(?:it|test)\.fails\b/;

const files = execFileSync('git', ['ls-files', '*.test.ts'], {encoding: 'utf8'})
  .split('\n')
  .filter(
    file => file !== '' && EXPECTED_FAILURE.test(readFileSync(file, 'utf8')),
  );
const entries = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');

let missing = 0;
for (const file of files) {
  const listed = entries.filter(entry => entry.includes(file));
  for (const entry of listed) console.log(`expected to fail: ${entry}`);
  if (listed.length > 0) continue;
  missing++;
  console.error(`${file}: it.fails without an entry in KNOWN-RED.txt`);
}
process.exitCode = missing > 0 ? 1 : 0;
