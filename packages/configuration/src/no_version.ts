/** Version before the first accepted record; versions are log offsets. */
export const NO_VERSION = -1;
