import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {OwnershipRun} from './ownership_run.js';

const options = await yargs(hideBin(process.argv))
  .option('first', {type: 'number', default: 1, describe: 'first seed'})
  .option('seeds', {type: 'number', default: 500, describe: 'number of seeds'})
  .strict()
  .parse();

let failed = 0;
let completed = 0;
for (let seed = options.first; seed < options.first + options.seeds; seed++) {
  const result = await OwnershipRun.play(seed);
  completed += result.completed;
  if (result.broken.length === 0) continue;
  failed++;
  console.log(`seed ${seed}: ${result.broken.slice(0, 3).join('; ')}`);
}
console.log(
  `${options.seeds} seeds, ${failed} broke a promise, ${completed} submissions completed`,
);
process.exitCode = failed > 0 ? 1 : 0;
