import {
  type ConfigurationDelta,
  ITEM_KINDS,
} from '@cardamomfield/configuration';
import type {ConfigurationState} from '@cardamomfield/types';

/** One line for each item that the change adds, replaces or removes. */
export function formatDelta(
  {put, remove}: ConfigurationDelta,
  inForce: ConfigurationState,
): string[] {
  return ITEM_KINDS.flatMap(kind => [
    ...put[kind].map(item => {
      const isNew = !Object.hasOwn(inForce[kind], item.name);
      return `${isNew ? '+' : '~'} ${kind}/${item.name}`;
    }),
    ...remove[kind].map(name => `- ${kind}/${name}`),
  ]);
}
