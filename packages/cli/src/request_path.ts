/** Path of a request on every entry host. */
export function requestPath(key: string): string {
  return `/v1/requests/${encodeURIComponent(key)}`;
}
