// Installs the locked dependencies when node_modules is missing or older than
// the lock file, so that a fresh clone needs no separate install step.
import {spawnSync} from 'node:child_process';
import {existsSync, statSync} from 'node:fs';

const INSTALLED_MARKER = 'node_modules/.package-lock.json';
const LOCK_FILE = 'package-lock.json';

function isCurrent() {
  if (!existsSync(INSTALLED_MARKER)) return false;
  return statSync(INSTALLED_MARKER).mtimeMs >= statSync(LOCK_FILE).mtimeMs;
}

if (!isCurrent()) {
  const result = spawnSync('npm', ['ci', '--prefer-offline'], {
    stdio: 'inherit',
  });
  process.exit(result.status ?? 1);
}
