import {Name, Rack, Rule, Service, Team, Worker} from '@cardamomfield/types';
import {z} from 'zod';

const names = z.array(Name).default([]);

/** Items to add or replace as a whole, and names of items to remove. */
export const ConfigurationDelta = z.strictObject({
  kind: z.literal('delta'),
  put: z
    .strictObject({
      racks: z.array(Rack).default([]),
      workers: z.array(Worker).default([]),
      services: z.array(Service).default([]),
      teams: z.array(Team).default([]),
      rules: z.array(Rule).default([]),
    })
    .prefault({}),
  remove: z
    .strictObject({
      racks: names,
      workers: names,
      services: names,
      teams: names,
      rules: names,
    })
    .prefault({}),
});
export type ConfigurationDelta = z.infer<typeof ConfigurationDelta>;
