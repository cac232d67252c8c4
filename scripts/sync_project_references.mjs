// Writes the TypeScript project references of every package from the
// workspace dependencies in its package.json. With --check it only reports
// differences, so that CI catches a package whose references are stale.
import {existsSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';

const SCOPE = '@cardamomfield/';
const isCheckOnly = process.argv.includes('--check');
const stale = [];

/** Returns the relative path to a package from the given folder. */
function referencePath(folder, name) {
  return folder === 'platform' ? `../packages/${name}` : `../${name}`;
}

function writeIfChanged(path, value) {
  const text = JSON.stringify(value, null, 2) + '\n';
  if (existsSync(path) && readFileSync(path, 'utf8') === text) return;
  stale.push(path);
  if (!isCheckOnly) writeFileSync(path, text);
}

const folders = readdirSync('packages')
  .filter(folder => existsSync(`packages/${folder}/package.json`))
  .map(folder => `packages/${folder}`);
folders.push('platform');

for (const folder of folders) {
  const manifest = JSON.parse(readFileSync(`${folder}/package.json`, 'utf8'));
  const references = Object.keys({
    ...manifest.dependencies,
    ...manifest.devDependencies,
  })
    .filter(name => name.startsWith(SCOPE))
    .map(name => ({path: referencePath(folder, name.slice(SCOPE.length))}));
  writeIfChanged(`${folder}/tsconfig.json`, {
    extends:
      folder === 'platform'
        ? '../tsconfig.base.json'
        : '../../tsconfig.base.json',
    compilerOptions: {rootDir: 'src', outDir: 'dist'},
    include: ['src'],
    references,
  });
}
writeIfChanged('tsconfig.json', {
  files: [],
  references: folders.map(folder => ({path: folder})),
});

if (isCheckOnly && stale.length > 0) {
  console.error(
    `project references out of date, run npm run sync: ${stale.join(', ')}`,
  );
  process.exit(1);
}
