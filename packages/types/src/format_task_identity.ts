import type {TaskIdentity} from './task_identity.js';

/** The identity as one string, for maps, logs and URLs. */
export function formatTaskIdentity(identity: TaskIdentity): string {
  return `${identity.key}~${identity.index}~${identity.attempt}`;
}
