// Writes the TypeScript project references of every package from the
// workspace dependencies in its package.json. With --check it only reports
// differences, so that CI catches a package whose references are stale.
import {existsSync, readdirSync, readFileSync, writeFileSync} from 'node:fs';

const SCOPE = '@cardamomfield/';
const isCheck = process.argv.includes('--check');
const stale = [];

/** Path of another package from the given one. */
function referencePath(folder, name) {
  return folder === 'platform' ? `../packages/${name}` : `../${name}`;
}

function write(path, value) {
  const text = JSON.stringify(value, null, 2) + '\n';
  if (existsSync(path) && readFileSync(path, 'utf8') === text) return;
  stale.push(path);
  if (!isCheck) writeFileSync(path, text);
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
  write(`${folder}/tsconfig.json`, {
    extends:
      folder === 'platform'
        ? '../tsconfig.base.json'
        : '../../tsconfig.base.json',
    compilerOptions: {rootDir: 'src', outDir: 'dist'},
    include: ['src'],
    references,
  });
}
write('tsconfig.json', {
  files: [],
  references: folders.map(folder => ({path: folder})),
});

if (isCheck && stale.length > 0) {
  console.error(`Run npm run sync; stale: ${stale.join(', ')}`);
  process.exit(1);
}
