/** Reads a log stream into a state by a pure fold, with snapshots, and resolves appends whose answer was lost. */
export {};
