// Starts the bundled daemon next to this file with the V8 code cache from the
// build of the bundle. Without the cache, compilation takes half of a start.
'use strict';
const {existsSync, readFileSync} = require('node:fs');
const {Script} = require('node:vm');

const base = __filename.replace(/\.cjs$/, '');
const filename = `${base}.bundle`;
const cacheFile = `${base}.cache`;
const script = new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData: existsSync(cacheFile) ? readFileSync(cacheFile) : undefined,
});
if (script.cachedDataRejected !== false) {
  console.error(
    JSON.stringify({
      time: new Date().toISOString(),
      level: 'warn',
      message: 'compiled code not used, the start takes longer',
      cause:
        script.cachedDataRejected === undefined
          ? 'the code cache file is missing'
          : 'the cache was built for another Node version or other flags',
    }),
  );
}
script.runInThisContext()(require);
