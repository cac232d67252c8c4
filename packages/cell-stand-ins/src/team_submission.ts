import type {RandomSource} from '@cardamomfield/clock';
import {createGangSubmission} from './gang_submission.js';
import {createSubmission} from './plain_submission.js';

const LARGEST_TASK_COUNT = 8;
const GANG_SHARE = 0.1;
const URGENT_SHARE = 0.4;

/** Creates a submission of a team: urgent work, or work that may be preempted. */
export function createTeamSubmission(
  team: string,
  random: RandomSource,
): ReturnType<typeof createSubmission> & {team: string} {
  if (random.fraction() < GANG_SHARE) {
    return {...createGangSubmission(2), team};
  }
  const {queue, specification, milliCores} = createSubmission(
    1 + random.integerBelow(LARGEST_TASK_COUNT),
  );
  const isUrgent = random.fraction() < URGENT_SHARE;
  const steps = specification.steps.map(step => ({
    ...step,
    savesCheckpoints: !isUrgent,
  }));
  return {
    queue: {...queue, priority: isUrgent ? 0 : 2},
    specification: {...specification, steps},
    milliCores,
    team,
  };
}
