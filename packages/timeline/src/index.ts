/** Events of one process with a hybrid logical clock, and merging the events of several processes in causal order. */
export {};
