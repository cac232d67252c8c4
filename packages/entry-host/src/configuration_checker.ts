import {findNeverRunnable} from '@cardamomfield/admission';
import type {Configuration} from '@cardamomfield/configuration';
import {
  InvalidInputError,
  type TypedError,
  UnavailableError,
} from '@cardamomfield/errors';
import type {SubmissionChecker} from '@cardamomfield/requests';
import type {
  ConfigurationState,
  FinalAnswer,
  Submission,
} from '@cardamomfield/types';
import {type Either, Left, Right} from 'purify-ts';

/** Checks requests against the active configuration. */
export class ConfigurationChecker implements SubmissionChecker {
  private constructor(private readonly configuration: Configuration) {}

  static create(configuration: Configuration): ConfigurationChecker {
    return new ConfigurationChecker(configuration);
  }

  check(submission: Submission): Either<TypedError, FinalAnswer | undefined> {
    const current = this.configuration.current();
    if (!current) {
      const message = 'this entry host has no configuration yet';
      return Left(UnavailableError.create(message));
    }
    const {state} = current;
    return checkNames(submission, state).map(
      () => refuseGang(submission) ?? refuseNeverRunnable(submission, state),
    );
  }
}

/**
 * Refuses gangs of several tasks: the daemon can't start their tasks together
 * yet, and starting them one by one is not what the caller asked for.
 */
function refuseGang(submission: Submission): FinalAnswer | undefined {
  if (submission.kind !== 'gang' || submission.taskCount === 1) return;
  const message = 'gangs of several tasks are not supported yet';
  const reason = {code: 'not-supported', message};
  return {outcome: 'not-run', key: submission.key, reason};
}

/** Refuses a request that could not run even on an idle inventory. */
function refuseNeverRunnable(
  submission: Submission,
  state: ConfigurationState,
): FinalAnswer | undefined {
  const obstacle = findNeverRunnable(submission, state);
  if (!obstacle) return undefined;
  const {message, ...details} = obstacle;
  const reason = {code: 'never-runnable', message, details: {...details}};
  return {outcome: 'not-run', key: submission.key, reason};
}

function checkNames(
  submission: Submission,
  state: ConfigurationState,
): Either<TypedError, void> {
  const service = state.services[submission.service];
  if (!service) return unknownName('service', submission.service);
  if (!state.teams[submission.team]) {
    return unknownName('team', submission.team);
  }
  const isAllowed =
    service.teams.length === 0 || service.teams.includes(submission.team);
  if (isAllowed) return Right(undefined);
  const {team} = submission;
  return Left(
    InvalidInputError.create(
      `team: ${team} may not use service ${submission.service}`,
    ),
  );
}

function unknownName(kind: string, name: string): Either<TypedError, void> {
  return Left(
    InvalidInputError.create(`${kind}: the configuration has no ${name}`),
  );
}
