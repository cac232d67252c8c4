import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {OwnershipSimulation} from './ownership_simulation.js';
import {RecoverySimulation} from './recovery_simulation.js';

const options = await yargs(hideBin(process.argv))
  .option('first', {type: 'number', default: 1, describe: 'first seed'})
  .option('seeds', {type: 'number', default: 500, describe: 'number of seeds'})
  .option('recovery', {
    type: 'boolean',
    default: false,
    describe: 'simulate how soon lasting tasks run again',
  })
  .option('losses', {
    type: 'boolean',
    default: false,
    describe: 'with --recovery: workers may be lost without a replacement',
  })
  .option('drains', {
    type: 'boolean',
    default: false,
    describe:
      'workers also drain, pause, lose their entries and kill runs slowly',
  })
  .option('large', {
    type: 'boolean',
    default: false,
    describe: 'submissions have very different numbers of tasks',
  })
  .option('gangs', {
    type: 'boolean',
    default: false,
    describe:
      'submissions begin with a gang and workers fail all that they start for some time',
  })
  .option('teams', {
    type: 'boolean',
    default: false,
    describe: 'submissions belong to teams whose limits change',
  })
  .option('cancels', {
    type: 'boolean',
    default: false,
    describe:
      'callers also submit, cancel and ask at every host that takes itself for the owner',
  })
  .strict()
  .parse();

let failed = 0;
let count = 0;
for (let seed = options.first; seed < options.first + options.seeds; seed++) {
  const violations = await simulate(seed);
  if (violations.length === 0) continue;
  failed++;
  console.log(`seed ${seed}: ${violations.slice(0, 3).join('; ')}`);
}
const counted = options.recovery ? 'runs interrupted' : 'submissions completed';
console.log(
  `${options.seeds} seeds, ${failed} violated a guarantee, ${count} ${counted}`,
);
process.exitCode = failed > 0 ? 1 : 0;

async function simulate(seed: number): Promise<string[]> {
  if (options.recovery) {
    const {violations, interrupted} = await RecoverySimulation.run(seed, {
      losesWorkers: options.losses,
    });
    count += interrupted;
    return violations;
  }
  const {violations, completed} = await OwnershipSimulation.run(seed, {
    drainsWorkers: options.drains,
    submitsLargeWork: options.large,
    submitsGangs: options.gangs,
    submitsForTeams: options.teams,
    cancelsAtEveryHost: options.cancels,
  });
  count += completed;
  return violations;
}
