import type {ServerResponse} from 'node:http';

export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Readonly<Record<string, string>> = {},
): void {
  response.writeHead(status, {'content-type': 'application/json', ...headers});
  response.end(JSON.stringify(value));
}
