import type {Clock} from '@cardamomfield/clock';
import type {UnavailableError} from '@cardamomfield/errors';
import type {HostEntry, HostList} from '@cardamomfield/platform';
import type {Either} from 'purify-ts';
import {HttpCaller} from './http_caller.js';
import {platformWire} from './platform_wire.js';
import {toReadFailure} from './to_read_failure.js';

interface HttpHostListOptions {
  /** Base URL of the service that has the list. */
  address: string;
  clock: Clock;
}

/** The platform's host list over HTTP. */
export class HttpHostList implements HostList {
  private constructor(private readonly caller: HttpCaller) {}

  static create(options: HttpHostListOptions): HttpHostList {
    return new HttpHostList(HttpCaller.create(options));
  }

  async list(deadline: number): Promise<Either<UnavailableError, HostEntry[]>> {
    const result = await this.caller.call({
      method: 'GET',
      path: '/hosts',
      schema: platformWire.hostsAnswer,
      deadline,
    });
    return result.map(answer => answer.hosts).mapLeft(toReadFailure);
  }

  /** Ends all calls and connections. */
  close(): Promise<void> {
    return this.caller.close();
  }
}
