import {createSubmission} from './plain_submission.js';

const MAXIMUM_ATTEMPTS = 4;

/** Creates a submission of a gang and of one task that needs the gang. */
export function createGangSubmission(
  memberCount: number,
): ReturnType<typeof createSubmission> {
  const {queue, specification, milliCores} = createSubmission(1);
  const [first, ...others] = specification.steps;
  if (!first) throw new RangeError('a submission has at least one step');
  const gang = {...first, taskCount: memberCount, isGang: true};
  return {
    queue: {...queue, maximumAttempts: MAXIMUM_ATTEMPTS},
    milliCores,
    specification: {...specification, steps: [gang, ...others]},
  };
}
