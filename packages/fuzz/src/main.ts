/** Long random runs: `npm run fuzz -- --seed 1 --runs 1000`. */
import {setMaxListeners} from 'node:events';
import fc from 'fast-check';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runOwnershipFuzz} from './ownership_fuzz.js';
import {systemOperation} from './system_operation.js';
import {SystemRun} from './system_run.js';

// Many simulated hosts listen on shared signals, so a high number of listeners
// does not indicate a leak.
setMaxListeners(0);

const MAXIMUM_OPERATIONS = 60;
const MAXIMUM_SYSTEM_SEED = 1_000_000;

const options = await yargs(hideBin(process.argv))
  .scriptName('fuzz')
  .options({
    target: {
      choices: ['system', 'ownership'] as const,
      default: 'system' as const,
      describe: 'What to run',
    },
    seed: {type: 'number', default: 1, describe: 'Seed of the first run'},
    runs: {type: 'number', default: 1_000, describe: 'Number of runs'},
  })
  .strict()
  .parse();

if (options.target === 'ownership') {
  await runOwnershipFuzz({seed: options.seed, runs: options.runs});
} else {
  await runSystemFuzz(options.seed, options.runs);
}
process.exit(process.exitCode ?? 0);

/** Formats the seed and the shrunk operations of a failed run, one per line. */
function formatTrace(counterexample: [number, unknown[]] | null): string[] {
  if (!counterexample) return [];
  const [systemSeed, operations] = counterexample;
  return [
    `system seed ${systemSeed}`,
    ...operations.map(operation => JSON.stringify(operation)),
  ];
}

async function runSystemFuzz(seed: number, runs: number): Promise<void> {
  const result = await fc.check(
    fc.asyncProperty(
      fc.nat({max: MAXIMUM_SYSTEM_SEED}),
      fc.array(systemOperation, {maxLength: MAXIMUM_OPERATIONS, size: 'max'}),
      async (systemSeed, operations) => {
        const run = await SystemRun.create(systemSeed);
        await run.run(operations);
      },
    ),
    {seed, numRuns: runs},
  );
  if (!result.failed) {
    process.stdout.write(`${result.numRuns} runs kept all guarantees\n`);
    return;
  }
  process.exitCode = 1;
  const {errorInstance, counterexample} = result;
  const reason =
    errorInstance instanceof Error ? errorInstance.message : errorInstance;
  process.stdout.write(
    [
      `violation after ${result.numRuns} runs, seed ${seed}: ${String(reason)}`,
      ...formatTrace(counterexample),
      '',
    ].join('\n'),
  );
}
