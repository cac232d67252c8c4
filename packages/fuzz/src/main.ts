/** Long random runs: `npm run fuzz -- --seed 1 --runs 1000`. */
import fc from 'fast-check';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {runOwnershipFuzz} from './ownership_fuzz.js';
import {systemOperation} from './system_operation.js';
import {SystemRun} from './system_run.js';

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
  process.stdout.write(`${await fc.asyncDefaultReportMessage(result)}\n`);
}
