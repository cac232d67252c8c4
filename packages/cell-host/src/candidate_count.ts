/**
 * Number of hosts, first in claiming order, that ping the owner most often and
 * to which the owner sends its heartbeats.
 */
export const CANDIDATE_COUNT = 8;
