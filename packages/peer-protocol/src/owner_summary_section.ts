import type {HeartbeatSection} from './heartbeat_section.js';
import {OwnerSummary} from './owner_summary.js';

/** Heartbeat section with the capacity offers of the sender. */
export const OWNER_SUMMARY_SECTION: HeartbeatSection<OwnerSummary> = {
  name: 'owner',
  schema: OwnerSummary,
};
