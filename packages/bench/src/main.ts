/**
 * Runs the measurement that `npm run bench -- <command>` names. Without a
 * command, runs all measurements in sequence.
 */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {CONTROL_COST_BENCH} from './control_cost_bench.js';
import {PLACEMENT_BENCH} from './placement_bench.js';

const COMMANDS = ['placement', 'control-cost'];

async function run(commandLine: string[]): Promise<void> {
  await yargs(commandLine)
    .scriptName('bench')
    .command(PLACEMENT_BENCH)
    .command(CONTROL_COST_BENCH)
    .strict()
    .help()
    .parseAsync();
}

const given = hideBin(process.argv);
if (given.length > 0) {
  await run(given);
} else {
  for (const command of COMMANDS) {
    process.stdout.write(`== bench ${command}\n`);
    await run([command]);
  }
}
