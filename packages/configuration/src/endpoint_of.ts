const ADDRESS = /^(https?):\/\/([^/?#]+)/i;

/** Host and port of a worker's address. */
export function endpointOf(address: string): string {
  const [, scheme, host] = ADDRESS.exec(address)!;
  const port = scheme!.toLowerCase() === 'https' ? ':443' : ':80';
  const hasPort = /:\d+$/.test(host!);
  return host!.toLowerCase() + (hasPort ? '' : port);
}
