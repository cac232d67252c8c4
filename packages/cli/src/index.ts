/** The cardamomfield command. */
export {};
