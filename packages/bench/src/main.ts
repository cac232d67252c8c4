/** Dispatches `npm run bench -- <command>` to the measurements. */
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {CONTROL_COST_BENCH} from './control_cost_bench.js';
import {PLACEMENT_BENCH} from './placement_bench.js';

await yargs(hideBin(process.argv))
  .scriptName('bench')
  .command(PLACEMENT_BENCH)
  .command(CONTROL_COST_BENCH)
  .demandCommand(1)
  .strict()
  .help()
  .parseAsync();
