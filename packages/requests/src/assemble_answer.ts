import type {FinalAnswer, TaskConclusion} from '@cardamomfield/types';

/**
 * Combines the conclusions of all tasks, in task order, into one answer. The
 * answer is `unknown` if any conclusion is.
 */
export function assembleAnswer(
  key: string,
  conclusions: readonly TaskConclusion[],
): FinalAnswer {
  const uncertain = conclusions.find(each => each.kind === 'unknown');
  if (uncertain) return {outcome: 'unknown', key, reason: uncertain.reason};
  const results = conclusions.flatMap(each =>
    each.kind === 'ran' ? [each.result] : [],
  );
  const notRun = conclusions.flatMap((each, index) =>
    each.kind === 'not-run' ? [{index, reason: each.reason}] : [],
  );
  const [first] = conclusions.filter(each => each.kind === 'not-run');
  if (results.length > 0 || !first) {
    return {outcome: 'ran', key, results, notRun};
  }
  const {reason, retryAfter} = first;
  const retry = retryAfter === undefined ? {} : {retryAfter};
  return {outcome: 'not-run', key, reason, ...retry};
}
