import {RequestView} from '@cardamomfield/peer-protocol';
import {Name} from '@cardamomfield/types';
import {z} from 'zod';
import {CallerRequest} from './caller_request.js';

/** A route as described in the OpenAPI document. */
interface RouteDescription {
  method: 'get' | 'post' | 'put' | 'delete';
  /** Path with parameters in tinyhttp syntax. */
  path: string;
  summary: string;
  query?: Readonly<Record<string, string>>;
  headers?: Readonly<Record<string, string>>;
  body?: z.ZodType;
  /** Schema of the response; any JSON document if absent. */
  answer?: z.ZodType;
  /** Success status codes with their meaning. */
  statuses: Readonly<Record<string, string>>;
}

const WAIT_DESCRIPTION =
  'Longest time in milliseconds to wait for news, up to 60000.';

/** All routes of the API. A test compares them with the registered routes. */
export const ROUTE_DESCRIPTIONS: readonly RouteDescription[] = [
  {
    method: 'post',
    path: '/v1/requests',
    summary:
      'Submits a request. It waits for the final answer, except for kind `service` and with `wait=false`.',
    query: {
      wait: '`true` or `false`; `false` returns the first state at once.',
    },
    headers: {
      'idempotency-key':
        'Key of the request. The same key with the same body gets the answer of the first, on any entry host.',
      'request-deadline':
        'Instant after which no start is made: Unix milliseconds or ISO 8601. 30 s from now by default.',
    },
    body: CallerRequest,
    answer: RequestView,
    statuses: {
      '200': 'Finished; `answer` is final.',
      '202': 'Accepted; `location` tells where to look.',
    },
  },
  {
    method: 'get',
    path: '/v1/requests/:key',
    summary: 'The state of a request, on whichever entry host it runs.',
    query: {
      waitMilliseconds: WAIT_DESCRIPTION,
      afterRevision: 'Wait only for a revision above this one.',
    },
    answer: RequestView,
    statuses: {'200': 'Finished.', '202': 'Waiting or running.'},
  },
  {
    method: 'delete',
    path: '/v1/requests/:key',
    summary: 'Cancels a request. Repeating it changes nothing.',
    answer: RequestView,
    statuses: {
      '200': 'Had finished before.',
      '202': 'Is being stopped; the final answer follows.',
    },
  },
  {
    method: 'get',
    path: '/v1/requests/:key/events',
    summary:
      'Streams the state after every change, one JSON document a line, until the request has finished.',
    statuses: {'200': 'A stream of `RequestView`.'},
  },
  {
    method: 'get',
    path: '/v1/status',
    summary: 'Owners, epochs, versions, queues and workers of this entry host.',
    statuses: {'200': 'The status.'},
  },
  {
    method: 'get',
    path: '/v1/timeline',
    summary: 'The latest events of this process, oldest first.',
    statuses: {'200': 'An array of events.'},
  },
  {
    method: 'get',
    path: '/v1/configuration',
    summary: 'The configuration in force on this entry host.',
    statuses: {'200': '`{version, state}`.'},
  },
  {
    method: 'post',
    path: '/v1/configuration/changes',
    summary:
      'Publishes a change: `{base, editor, change}`. 409 names the edit that came first; 502 means that the outcome is unknown.',
    statuses: {'200': 'Accepted, with its version.'},
  },
  {
    method: 'get',
    path: '/v1/voters',
    summary: 'The entry hosts that a majority counts.',
    statuses: {'200': 'Version and members.'},
  },
  {
    method: 'put',
    path: '/v1/voters',
    summary:
      'Replaces the voters. Only for when a majority is gone for good: two owners of one group are possible while an old voter still runs.',
    body: z.strictObject({voters: z.array(Name).min(1)}),
    statuses: {'200': 'Recorded, with its offset.'},
  },
  {
    method: 'get',
    path: '/v1/health/live',
    summary: 'Whether the process answers.',
    statuses: {'200': 'It does.'},
  },
  {
    method: 'get',
    path: '/v1/health/ready',
    summary: 'Whether the entry host may get requests. 503 says why not.',
    statuses: {'200': 'It may.'},
  },
];
