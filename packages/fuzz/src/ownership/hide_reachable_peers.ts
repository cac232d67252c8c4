import {OwnershipSection, type PeerNetwork} from '@cardamomfield/peer-protocol';

/**
 * Hides the hosts from which peers receive heartbeats. Normally, a host does
 * not claim a group while other hosts receive heartbeats of its owner. Safety
 * must not depend on that, so this wrapper makes the host claim.
 */
export function hideReachablePeers(network: PeerNetwork): PeerNetwork {
  return new Proxy(network, {
    get: (target, name) => {
      const member = Reflect.get(target, name, target) as unknown;
      if (typeof member !== 'function') return member;
      if (name !== 'latest') return member.bind(target) as unknown;
      return (peer: string, section: typeof OwnershipSection) => {
        const latest = target.latest(peer, section);
        if (!latest || section.name !== OwnershipSection.name) return latest;
        return {...latest, value: {...latest.value, hears: []}};
      };
    },
  });
}
