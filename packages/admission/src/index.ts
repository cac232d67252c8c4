/** Never-runnable checks, team quotas with borrowing, and load shedding. */
export * from './find_never_runnable.js';
export * from './never_runnable.js';
export * from './overload_gate.js';
export * from './team_quotas.js';
