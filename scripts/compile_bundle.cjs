// Runs a bundle for a moment and writes what V8 has compiled by then. Arguments:
// the bundle, the file to write.
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const {Script} = require('node:vm');

/** Enough for the settings, the servers and the first calls that fail. */
const RUN_MILLISECONDS = 1_500;

const [filename, cache] = process.argv.slice(2);
const script = new Script(readFileSync(filename, 'latin1'), {filename});
process.once('exit', () => writeFileSync(cache, script.createCachedData()));
setTimeout(() => process.exit(0), RUN_MILLISECONDS);
script.runInThisContext()(require);
