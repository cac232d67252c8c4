/** The platform interfaces over HTTP. */
export {};
