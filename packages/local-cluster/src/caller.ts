import type {RequestView} from '@cardamomfield/peer-protocol';
import {request} from 'undici';

/** Resources of a small task. */
const SMALL_DEMAND = {
  processorMillicores: 1_000,
  memoryBytes: 2 ** 30,
  accelerators: 0,
  slots: 1,
  connections: 1,
};

interface SubmitOptions {
  key?: string;
  kind: string;
  service: string;
  team: string;
  idempotent?: boolean;
  taskCount?: number;
  payload?: unknown;
  /** Wall-clock time of the deadline. */
  deadline?: number;
  demand?: Partial<typeof SMALL_DEMAND>;
  /** If false, the call returns immediately with the initial state. */
  wait?: boolean;
}

interface Reply {
  status: number;
  body: RequestView & {code?: string; detail?: string};
}

/** Client of the HTTP interface, for the demo and for process tests. */
export class Caller {
  private constructor(readonly url: string) {}

  static create(url: string): Caller {
    return new Caller(url);
  }

  /** Submits a request and returns the answer, whatever its status. */
  async submit(options: SubmitOptions): Promise<Reply> {
    const {key, wait = true, demand, ...body} = options;
    const answer = await request(`${this.url}/v1/requests?wait=${wait}`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        ...(key === undefined ? {} : {'idempotency-key': key}),
      },
      body: JSON.stringify({
        idempotent: true,
        ...body,
        demand: {...SMALL_DEMAND, ...demand},
      }),
      bodyTimeout: 0,
      headersTimeout: 0,
    });
    return {
      status: answer.statusCode,
      body: (await answer.body.json()) as Reply['body'],
    };
  }

  /** Returns the current state of a request. */
  async show(key: string, waitMilliseconds = 0): Promise<Reply> {
    const query = `waitMilliseconds=${waitMilliseconds}`;
    const answer = await request(`${this.url}/v1/requests/${key}?${query}`);
    return {
      status: answer.statusCode,
      body: (await answer.body.json()) as Reply['body'],
    };
  }

  async cancel(key: string): Promise<Reply> {
    const answer = await request(`${this.url}/v1/requests/${key}`, {
      method: 'DELETE',
    });
    return {
      status: answer.statusCode,
      body: (await answer.body.json()) as Reply['body'],
    };
  }

  /** Reads a JSON document of the interface. */
  async read(path: string): Promise<unknown> {
    const answer = await request(`${this.url}${path}`);
    return answer.body.json();
  }

  /** Publishes a configuration change. */
  async publish(change: unknown, base: number): Promise<Reply> {
    const answer = await request(`${this.url}/v1/configuration/changes`, {
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({base, editor: 'caller', change}),
    });
    return {
      status: answer.statusCode,
      body: (await answer.body.json()) as Reply['body'],
    };
  }
}
