import {isIP} from 'node:net';
import {z} from 'zod';

/** Whether the text is an HTTP(S) URL with an IP address and no credentials. */
function isPlainIpUrl(text: string): boolean {
  if (!URL.canParse(text)) return false;
  const url = new URL(text);
  if (url.protocol !== 'http:' && url.protocol !== 'https:') return false;
  if (url.username || url.password) return false;
  return isIP(url.hostname.replace(/^\[|\]$/g, '')) !== 0;
}

/** Base URL of a service, with an IP address and without credentials. */
export const IpUrl = z.string().refine(isPlainIpUrl);
export type IpUrl = z.infer<typeof IpUrl>;
