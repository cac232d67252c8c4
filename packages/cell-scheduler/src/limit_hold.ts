import type {RESOURCE_NAMES} from './resource_names.js';

/** A team whose waiting tasks are held back by its limit. */
export interface LimitHold {
  team: string;
  /** Undefined while the limits are not known. */
  resource: (typeof RESOURCE_NAMES)[number] | undefined;
  used: number;
  limit: number;
}
