import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {OwnershipSimulation} from './ownership_simulation.js';

const options = await yargs(hideBin(process.argv))
  .option('first', {type: 'number', default: 1, describe: 'first seed'})
  .option('seeds', {type: 'number', default: 500, describe: 'number of seeds'})
  .strict()
  .parse();

let failed = 0;
let completed = 0;
for (let seed = options.first; seed < options.first + options.seeds; seed++) {
  const result = await OwnershipSimulation.run(seed);
  completed += result.completed;
  if (result.violations.length === 0) continue;
  failed++;
  console.log(`seed ${seed}: ${result.violations.slice(0, 3).join('; ')}`);
}
console.log(
  `${options.seeds} seeds, ${failed} violated a guarantee, ${completed} submissions completed`,
);
process.exitCode = failed > 0 ? 1 : 0;
