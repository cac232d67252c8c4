// Starts the bundled daemon beside this file with the code that V8 compiled
// when the bundle was built; compiling it anew takes half of a start.
'use strict';
const {existsSync, readFileSync} = require('node:fs');
const {Script} = require('node:vm');

const base = __filename.replace(/\.cjs$/, '');
const filename = `${base}.bundle`;
const cache = `${base}.cache`;
const script = new Script(readFileSync(filename, 'latin1'), {
  filename,
  cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
});
if (script.cachedDataRejected !== false) {
  console.error(
    JSON.stringify({
      time: new Date().toISOString(),
      level: 'warn',
      message: 'compiled code not used, the start takes longer',
      cause:
        script.cachedDataRejected === undefined
          ? 'there is none'
          : 'it was built for another version or other flags of Node',
    }),
  );
}
script.runInThisContext()(require);
