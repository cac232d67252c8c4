/** The base class of all failures and the common failure types. */
export {};
