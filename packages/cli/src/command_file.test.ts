import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';

const PACKAGE_FOLDER = new URL('..', import.meta.url).pathname;

describe('command file', () => {
  // Guards against `npx cardamomfield` that looks for a package in the
  // registry: npm links only files that exist when it installs.
  it('is kept in the repository, since it is linked before the build', () => {
    const manifest = JSON.parse(
      readFileSync(`${PACKAGE_FOLDER}/package.json`, 'utf8'),
    ) as {bin: {cardamomfield: string}};
    const tracked = execFileSync('git', ['ls-files', '--', '.'], {
      cwd: PACKAGE_FOLDER,
      encoding: 'utf8',
    }).split('\n');
    const file = manifest.bin.cardamomfield.replace(/^\.\//, '');
    expect(tracked).toContain(file);
  });
});
