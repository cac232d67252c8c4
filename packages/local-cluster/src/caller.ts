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

interface Ask {
  key?: string;
  kind: string;
  service: string;
  team: string;
  idempotent?: boolean;
  taskCount?: number;
  payload?: unknown;
  /** Wall-clock instant of the deadline. */
  deadline?: number;
  demand?: Partial<typeof SMALL_DEMAND>;
  /** False returns at once with the first state. */
  wait?: boolean;
}

interface Reply {
  status: number;
  body: RequestView & {code?: string; detail?: string};
}

/** A caller of the HTTP interface, for the demo and for process tests. */
export class Caller {
  private constructor(readonly url: string) {}

  static create(url: string): Caller {
    return new Caller(url);
  }

  /** Submits a request and returns the answer, whatever it is. */
  async submit(ask: Ask): Promise<Reply> {
    const {key, wait = true, demand, ...body} = ask;
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

  /** The present state of a request. */
  async show(key: string, waitMilliseconds = 0): Promise<Reply> {
    const query = `waitMilliseconds=${waitMilliseconds}`;
    const answer = await request(`${this.url}/v1/requests/${key}?${query}`);
    return {
      status: answer.statusCode,
      body: (await answer.body.json()) as Reply['body'],
    };
  }

  /** Cancels a request. */
  async cancel(key: string): Promise<Reply> {
    const answer = await request(`${this.url}/v1/requests/${key}`, {
      method: 'DELETE',
    });
    return {
      status: answer.statusCode,
      body: (await answer.body.json()) as Reply['body'],
    };
  }

  /** Any JSON document of the interface. */
  async read(path: string): Promise<unknown> {
    const answer = await request(`${this.url}${path}`);
    return answer.body.json();
  }

  /** Publishes a change of the configuration. */
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
