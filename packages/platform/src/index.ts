/** Interfaces to the platform: log service, host list and workers. */
export {};
