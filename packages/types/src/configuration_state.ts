import {z} from 'zod';
import {Name} from './name.js';
import {Rack} from './rack.js';
import {Rule} from './rule.js';
import {Service} from './service.js';
import {Team} from './team.js';
import {Worker} from './worker.js';

/** Effective inventory and rules, with each item keyed by its name. */
export const ConfigurationState = z.strictObject({
  racks: z.record(Name, Rack),
  workers: z.record(Name, Worker),
  services: z.record(Name, Service),
  teams: z.record(Name, Team),
  rules: z.record(Name, Rule),
});
export type ConfigurationState = z.infer<typeof ConfigurationState>;
