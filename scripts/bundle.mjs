// Bundles the daemon into one file, so that a start loads little. The first
// argument names the file; target/cardamomfield.mjs if omitted.
import {build} from 'esbuild';

const WORKSPACE = /^@cardamomfield\/([^/]+)$/;

/** Bundles the packages of this repository from their sources. */
const fromSources = {
  name: 'from-sources',
  setup(builder) {
    builder.onResolve({filter: WORKSPACE}, ({path}) => {
      const name = path.match(WORKSPACE)[1];
      return {path: `${process.cwd()}/packages/${name}/src/index.ts`};
    });
  },
};

/** Leaves out the translations of schema errors; nothing reads them. */
const withoutLocales = {
  name: 'without-locales',
  setup(builder) {
    builder.onLoad({filter: /zod\/v4\/locales\/index\.js$/}, () => ({
      contents: "export {default as en} from './en.js';",
    }));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: process.argv[2] ?? 'target/cardamomfield.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  keepNames: true,
  sourcemap: false,
  plugins: [fromSources, withoutLocales],
  // CommonJS libraries in the bundle call require for Node's own modules.
  banner: {
    js: "import {createRequire} from 'node:module';const require=createRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
