/** Stand-in servers for the platform with fault injection, and the contract tests of the platform interfaces. */
export {};
