import type {Queue, SubmissionSpecification} from '@cardamomfield/cell-model';
import {InvalidInputError, type TypedError} from '@cardamomfield/errors';
import {type Either, Left, Right} from 'purify-ts';
import {estimateMemoryBytes} from './estimate_memory_bytes.js';
import {RecordCodec} from './record_codec.js';

/**
 * Maximum number of steps of one submission. Calls between hosts carry the
 * steps with all their fields, about 400 bytes each, in at most 4 MB.
 */
const MAXIMUM_STEPS = 5_000;

interface SubmissionLimitsOptions {
  /** Largest record that the shard's log accepts, in bytes. */
  recordBytes: number;
  /** Memory for all submissions that the owner holds, in bytes. */
  memoryBytes: number;
}

/** Largest submissions that the owner of a shard can record and hold. */
export class SubmissionLimits {
  private constructor(private readonly options: SubmissionLimitsOptions) {}

  static create(options: SubmissionLimitsOptions): SubmissionLimits {
    return new SubmissionLimits(options);
  }

  /** Largest record that the shard's log accepts, in bytes. */
  get recordBytes(): number {
    return this.options.recordBytes;
  }

  /** Memory for all submissions that the owner holds, in bytes. */
  get memoryBytes(): number {
    return this.options.memoryBytes;
  }

  /** Fails with `InvalidInputError` for one that can never be held. */
  check(
    queue: Queue,
    specification: SubmissionSpecification,
    team = '',
  ): Either<TypedError, void> {
    const {recordBytes, memoryBytes} = this.options;
    const {steps} = specification;
    if (steps.length > MAXIMUM_STEPS) {
      return Left(tooLarge(`${steps.length} steps`, `${MAXIMUM_STEPS} steps`));
    }
    const neededBytes = estimateMemoryBytes(specification);
    if (neededBytes > memoryBytes) {
      const tasks = steps.reduce((sum, {taskCount}) => sum + taskCount, 0);
      const occurrences = Math.max(1, specification.occurrenceCount);
      return Left(
        tooLarge(
          `${tasks} tasks in ${steps.length} steps, ${occurrences} times, about ${neededBytes} bytes in memory`,
          `${memoryBytes} bytes`,
        ),
      );
    }
    const length = RecordCodec.largestSubmissionBytes(
      queue,
      specification,
      team,
    );
    if (length > recordBytes) {
      return Left(
        tooLarge(`a record of ${length} bytes`, `${recordBytes} bytes`),
      );
    }
    return Right(undefined);
  }
}

function tooLarge(size: string, limit: string): TypedError {
  return InvalidInputError.create(
    `the submission is too large: ${size}; the limit is ${limit}`,
  );
}
