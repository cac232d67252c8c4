/** Size of the big-endian length field that precedes each frame. */
export const FRAME_HEADER_BYTES = 4;
