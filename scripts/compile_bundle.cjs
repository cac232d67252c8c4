// Runs a bundle briefly and writes the code cache of the functions that V8 has
// compiled by then. Arguments: the bundle, the cache file to write.
'use strict';
const {readFileSync, writeFileSync} = require('node:fs');
const {Script} = require('node:vm');

/** Long enough to load settings, start servers and fail the first calls. */
const RUN_MILLISECONDS = 1_500;

const [filename, cacheFile] = process.argv.slice(2);
const script = new Script(readFileSync(filename, 'latin1'), {filename});
process.once('exit', () => writeFileSync(cacheFile, script.createCachedData()));
setTimeout(() => process.exit(0), RUN_MILLISECONDS);
script.runInThisContext()(require);
