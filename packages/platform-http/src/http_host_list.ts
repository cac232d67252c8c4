import type {Clock} from '@cardamomfield/clock';
import type {UnavailableError} from '@cardamomfield/errors';
import type {HostEntry, HostList} from '@cardamomfield/platform';
import type {Either} from 'purify-ts';
import {HttpJsonClient} from './http_json_client.js';
import {platformWire} from './platform_wire.js';
import {toReadFailure} from './to_read_failure.js';

interface HttpHostListOptions {
  /** Base URL of the service that provides the list. */
  address: string;
  clock: Clock;
}

/** The platform's host list over HTTP. */
export class HttpHostList implements HostList {
  private constructor(private readonly client: HttpJsonClient) {}

  static create(options: HttpHostListOptions): HttpHostList {
    return new HttpHostList(HttpJsonClient.create(options));
  }

  async list(deadline: number): Promise<Either<UnavailableError, HostEntry[]>> {
    const result = await this.client.call({
      method: 'GET',
      path: '/hosts',
      schema: platformWire.hostsAnswer,
      deadline,
    });
    return result.map(answer => answer.hosts).mapLeft(toReadFailure);
  }

  /** Aborts all calls and closes all connections. */
  close(): Promise<void> {
    return this.client.close();
  }
}
