import type {Hello} from './hello.js';

/** Whether the first process started before the second one. */
export function isOlderIncarnation(first: Hello, second: Hello): boolean {
  if (first.startedAt !== second.startedAt) {
    return first.startedAt < second.startedAt;
  }
  return first.incarnation < second.incarnation;
}
