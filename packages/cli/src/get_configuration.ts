import {VersionedConfiguration} from '@cardamomfield/configuration';
import type {TypedError} from '@cardamomfield/errors';
import type {Either} from 'purify-ts';
import {z} from 'zod';
import type {EntryClient} from './entry_client.js';

/** Newer entry hosts may send further fields. */
const ConfigurationAnswer = z.looseObject(VersionedConfiguration.shape);

/** Gets the configuration in force from the first entry host that answers. */
export async function getConfiguration(
  client: EntryClient,
): Promise<Either<TypedError, VersionedConfiguration>> {
  const answer = await client.get('/v1/configuration', ConfigurationAnswer);
  return answer.map(({version, state}) => ({version, state}));
}
