import type {HeartbeatSection} from './heartbeat_section.js';
import {OwnerSummary} from './owner_summary.js';

/** Heartbeat section with each owner's offers. */
export const OWNER_SUMMARY_SECTION: HeartbeatSection<OwnerSummary> = {
  name: 'owner',
  schema: OwnerSummary,
};
