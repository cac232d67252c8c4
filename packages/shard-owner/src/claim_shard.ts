import {OwnerRecord, type ShardLog} from '@cardamomfield/cell-model';
import type {Clock} from '@cardamomfield/clock';
import {
  ConflictError,
  type TypedError,
  UnavailableError,
  UncertainError,
} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {FencingSequence} from './fencing_sequence.js';
import type {ShardClaim} from './shard_claim.js';

/** Key of the record that names the shard's owner. */
const OWNER_KEY = 'o';

/**
 * Maximum number of attempts to append the claim. Repeating an append whose
 * response was lost is safe because appends are idempotent.
 */
const CLAIM_TRIES = 3;

/**
 * Range of the random first sequence number. Competing claims get different
 * numbers, so that the log refuses all but one of them.
 */
const SEQUENCE_RANGE = 2 ** 40;

/** Longest part of a parser's message that an error repeats. */
const MAXIMUM_CAUSE_CHARACTERS = 200;

interface ClaimShardOptions {
  log: ShardLog;
  clock: Clock;
  /**
   * The claimant, with the epoch of the owner that it replaces, and since which
   * epoch the leases of that one and those before it are bounded.
   */
  claimant: OwnerRecord;
  random: () => number;
  /**
   * Whether a claim that loses to a newer owner reads the log to name that
   * owner. All records are read for this, so other sources come first.
   */
  readsNewerOwner: boolean;
}

/**
 * Raises the shard's epoch and reads all existing records. From then on the log
 * refuses appends of earlier owners. `UnavailableError` with the detail
 * `isUnfinished` means that this host holds the epoch but could not read the
 * records, so it cannot act as owner: another host has to claim the next epoch.
 */
export async function claimShard(
  options: ClaimShardOptions,
): Promise<Either<TypedError, ShardClaim>> {
  const {log, clock} = options;
  const epoch = FencingSequence.nextEpoch(options.claimant.epoch);
  const claim = {
    ...options.claimant,
    epoch,
    leasesBoundedSince: options.claimant.leasesBoundedSince ?? epoch,
  };
  const sequence = Math.floor(options.random() * SEQUENCE_RANGE);
  const record = {key: OWNER_KEY, value: JSON.stringify(claim)};
  const sentAt = clock.monotonicNow();
  const appended = await appendClaim(log, record, claim.epoch, sequence);
  if (appended.extract() instanceof ConflictError) {
    return options.readsNewerOwner
      ? findNewerOwner(log)
      : Left(ConflictError.create('the shard has a newer owner'));
  }
  if (appended.isLeft()) return appended as Either<TypedError, never>;
  const read = await log.readNewest();
  if (read.isLeft()) {
    const {message} = read.extract() as TypedError;
    return Left(
      UnavailableError.create(
        `shard claimed, but reading its records failed: ${message}`,
        {
          owner: claim,
          isUnfinished: true,
        },
      ),
    );
  }
  const records = toMap(read.unsafeCoerce());
  const recorded = readOwner(records);
  if (recorded.isLeft()) return recorded as Either<TypedError, never>;
  const owner = recorded.unsafeCoerce();
  if (owner?.incarnation !== claim.incarnation || owner.epoch !== claim.epoch) {
    return Left(
      ConflictError.create('another host claimed the shard', {owner}),
    );
  }
  return Right({
    owner: claim,
    isEmpty: [...records.keys()].every(key => key === OWNER_KEY),
    nextSequence: sequence + 1,
    provedAt: sentAt,
    records,
  });
}

/** The error for a claim that lost to a newer owner, with that owner. */
async function findNewerOwner(
  log: ShardLog,
): Promise<Either<TypedError, never>> {
  const read = await log.readNewest();
  if (read.isLeft()) return read as Either<TypedError, never>;
  return readOwner(toMap(read.unsafeCoerce())).chain(owner =>
    Left(ConflictError.create('the shard has a newer owner', {owner})),
  );
}

async function appendClaim(
  log: ShardLog,
  record: {key: string; value: string},
  epoch: number,
  sequence: number,
): Promise<Either<TypedError, void>> {
  let result: Either<TypedError, void> = Left(
    UncertainError.create('the claim was not sent'),
  );
  for (let attempt = 0; attempt < CLAIM_TRIES; attempt++) {
    result = await log.append([record], epoch, sequence);
    if (result.isRight()) return result;
    if (result.extract() instanceof ConflictError) return result;
  }
  return result;
}

function toMap(
  records: Array<{key: string; value: string}>,
): Map<string, string> {
  const map = new Map<string, string>();
  for (const {key, value} of records) {
    if (value === '') map.delete(key);
    else map.set(key, value);
  }
  return map;
}

function readOwner(
  records: ReadonlyMap<string, string>,
): Either<TypedError, OwnerRecord | undefined> {
  const value = records.get(OWNER_KEY);
  if (value === undefined) return Right(undefined);
  try {
    return Right(OwnerRecord.parse(JSON.parse(value)));
  } catch (thrown) {
    return Left(
      UncertainError.create(
        `the record of the shard's owner is unreadable: ${String(thrown).slice(0, MAXIMUM_CAUSE_CHARACTERS)}`,
      ),
    );
  }
}
