import type {Advice, Adviser, HostRecord} from '@cardamomfield/cell-model';
import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import type {Membership} from './membership.js';
import type {PeerClient} from './peer_client.js';
import {PeerMessages} from './peer_messages.js';
import {PeerMethod} from './peer_method.js';

/**
 * Time for the other host to answer that its own call to the service timed out.
 * Otherwise a slow service would make the host look unresponsive.
 */
const ANSWER_MARGIN_MILLISECONDS = 250;

/**
 * Asks the advice service through another host, and records whether that host
 * answers. The owner calls other hosts for little else.
 */
export class RemoteAdviser implements Adviser {
  private constructor(
    private readonly peers: PeerClient,
    private readonly host: HostRecord,
    private readonly membership: Membership,
  ) {}

  static create(
    peers: PeerClient,
    host: HostRecord,
    membership: Membership,
  ): RemoteAdviser {
    return new RemoteAdviser(peers, host, membership);
  }

  async ask(
    stepName: string,
    workerIds: string[],
    timeoutMilliseconds: number,
  ): Promise<Either<TypedError, Advice>> {
    const result = await this.peers.call(
      this.host.address,
      PeerMethod.queryAdvice,
      {stepName, workerIds, timeoutMilliseconds},
      PeerMessages.adviceResult,
      timeoutMilliseconds + ANSWER_MARGIN_MILLISECONDS,
    );
    const isUnanswered =
      result.isLeft() &&
      this.peers.isUnanswered(result.extract() as TypedError);
    if (isUnanswered) this.membership.markUnresponsive(this.host.name);
    else this.membership.markResponsive(this.host.name);
    return result.map(({tickets, validMilliseconds}) => ({
      tickets: new Map(tickets),
      validMilliseconds,
    }));
  }
}
