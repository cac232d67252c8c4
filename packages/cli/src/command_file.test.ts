import {execFileSync} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';

const PACKAGE_FOLDER = new URL('..', import.meta.url).pathname;

describe('command file', () => {
  // npm links a command only when its file exists during the installation,
  // which runs before the build. Without the link, `npx cardamomfield` looks
  // for a package of that name in the registry.
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
