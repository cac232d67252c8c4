/** Schemas of the messages between entry hosts. */
export {};
