/** The coordinator: the life of a request from submission to the final answer. */
export {};
