import {OwnershipSection, type PeerNetwork} from '@cardamomfield/peer-protocol';

/**
 * Hides which hosts the peers hear. A host does not claim a group whose owner
 * others hear; safety must not rest on that, so here it does claim.
 */
export function hidingHeardHosts(network: PeerNetwork): PeerNetwork {
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
