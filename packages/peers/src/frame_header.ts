/** Bytes of the big-endian length before each frame. */
export const FRAME_HEADER_BYTES = 4;
