// Rewrites the index.ts of the given packages to export every module of their
// src folder except tests, keeping the doc comment at the top.
import {readdirSync, readFileSync, writeFileSync} from 'node:fs';

for (const folder of process.argv.slice(2)) {
  const directory = `packages/${folder}/src`;
  const path = `${directory}/index.ts`;
  const comment = readFileSync(path, 'utf8').match(/^\/\*\*[\s\S]*?\*\//)?.[0];
  const modules = readdirSync(directory)
    .filter(name => name.endsWith('.ts'))
    .filter(name => !name.endsWith('.test.ts') && name !== 'index.ts')
    .sort()
    .map(name => `export * from './${name.slice(0, -3)}.js';`);
  writeFileSync(path, [comment, ...modules, ''].join('\n'));
}
