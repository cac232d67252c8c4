import type {TaskIdentity} from './task_identity.js';

/** Formats the identity as one string, for map keys, logs and URLs. */
export function formatTaskIdentity(identity: TaskIdentity): string {
  return `${identity.key}~${identity.index}~${identity.attempt}`;
}
