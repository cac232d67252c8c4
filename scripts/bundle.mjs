// Bundles the daemon into one script and compiles it ahead of time, so that a
// start loads and compiles little code. Writes the launcher, the bundle and the
// V8 code cache. The first argument is the path of the launcher; the default is
// target/cardamomfield.cjs.
import {execFileSync, spawnSync} from 'node:child_process';
import {copyFileSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

const WORKSPACE = /^@cardamomfield\/([^/]+)$/;

/** Resolves the packages of this repository to their sources. */
const fromSources = {
  name: 'from-sources',
  setup(builder) {
    builder.onResolve({filter: WORKSPACE}, ({path}) => {
      const name = path.match(WORKSPACE)[1];
      return {path: `${process.cwd()}/packages/${name}/src/index.ts`};
    });
  },
};

/**
 * Replacements for parts of libraries that the daemon never calls. Otherwise a
 * start would load these parts and the Node modules that only they need.
 */
const MODULE_REPLACEMENTS = [
  [/zod\/v4\/locales\/index\.js$/, "export {default as en} from './en.js';"],
  [
    /undici\/index\.js$/,
    `
      const Dispatcher = require('./lib/dispatcher/dispatcher');
      Object.assign(Dispatcher.prototype, require('./lib/api'));
      exports.Agent = require('./lib/dispatcher/agent');
      exports.Client = require('./lib/dispatcher/client');
    `,
  ],
  [
    /undici\/lib\/dispatcher\/client-h2\.js$/,
    "module.exports = () => {throw new Error('HTTP/2 is not bundled');};",
  ],
  [/prom-client\/lib\/(cluster|defaultMetrics|pushgateway)\.js$/, ''],
];

const replaceUnusedModules = {
  name: 'without-unused',
  setup(builder) {
    for (const [filter, contents] of MODULE_REPLACEMENTS) {
      builder.onLoad({filter}, () => ({contents}));
    }
  },
};

/** V8 accepts a code cache only under the flags that it was built with. */
function runtimeFlags() {
  const deployment = readFileSync('deploy/system.toml', 'utf8');
  const [, flags] = deployment.match(/^run = "node (.*)target\//m);
  return flags.split(' ').filter(flag => flag !== '');
}

/** Writes settings with which the daemon starts but reaches no store. */
function writeSettings(path) {
  // Uses a separate address per build process, as the metrics port is fixed.
  const address = `127.77.${(process.pid >> 8) % 256}.${process.pid % 256}:0`;
  const settings = {
    node_name: 'build',
    region: 'build',
    zone: 'build',
    listen_addrs: {
      frontend: address,
      readiness: address,
      control_plane: address,
    },
    seeds: [],
    limits: {cpu_quota: 1, cores: 1},
    bounds: {
      grace_s: 1,
      hold_max_ms: 1_000,
      kill_timeout_ms: 100,
      gang_timeout_ms: 1_000,
      status_s: 1,
    },
    recommendation: null,
    platform: {address: '127.0.0.1:9'},
  };
  writeFileSync(path, JSON.stringify(settings));
}

/** The version of the package and, in a clone, the commit. */
function version() {
  const {version} = JSON.parse(readFileSync('platform/package.json', 'utf8'));
  try {
    const commit = execFileSync('git', ['describe', '--always', '--dirty'], {
      encoding: 'utf8',
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    return `${version}+${commit.trim()}`;
  } catch {
    // Sources without a repository, or a machine without Git.
    return version;
  }
}

const launcher = process.argv[2] ?? 'target/cardamomfield.cjs';
const base = launcher.replace(/\.cjs$/, '');
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: `${base}.bundle`,
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  minify: true,
  sourcemap: false,
  define: {'process.env.CARDAMOMFIELD_VERSION': JSON.stringify(version())},
  plugins: [fromSources, replaceUnusedModules],
  banner: {js: '(function (require) {'},
  footer: {js: '})'},
  logLevel: 'warning',
});
copyFileSync('scripts/launcher.cjs', launcher);
const settingsPath = `${base}.settings.yaml`;
writeSettings(settingsPath);
const compiled = spawnSync(
  process.execPath,
  [
    ...runtimeFlags(),
    'scripts/compile_bundle.cjs',
    `${base}.bundle`,
    `${base}.cache`,
  ],
  {
    env: {...process.env, CARDAMOMFIELD_CONFIG: settingsPath},
    encoding: 'utf8',
  },
);
rmSync(settingsPath);
if (compiled.status !== 0) {
  throw new Error(`compiling the bundle failed: ${compiled.stderr}`);
}
