import type {Advice, Adviser} from '@cardamomfield/cell-model';
import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';

/** Asks the advice service through another host. */
export class RemoteAdviser implements Adviser {
  private constructor(
    private readonly peers: PeerClient,
    private readonly address: string,
  ) {}

  static create(peers: PeerClient, address: string): RemoteAdviser {
    return new RemoteAdviser(peers, address);
  }

  async ask(
    stepName: string,
    workerIds: string[],
    timeoutMilliseconds: number,
  ): Promise<Either<TypedError, Advice>> {
    const result = await this.peers.call(
      this.address,
      PeerMethod.queryAdvice,
      {stepName, workerIds, timeoutMilliseconds},
      PeerMessages.adviceResult,
      timeoutMilliseconds,
    );
    return result.map(({tickets, validMilliseconds}) => ({
      tickets: new Map(tickets),
      validMilliseconds,
    }));
  }
}
