import {z} from 'zod';

/**
 * A host's explanation of a placement. Fields that this command does not print
 * by name may be added by newer hosts.
 */
export const PlacementView = z.looseObject({
  hostName: z.string(),
  epoch: z.number(),
  ageMilliseconds: z.number(),
  explanation: z.looseObject({
    id: z.string().optional(),
    state: z.string(),
    queue: z.string().optional(),
    team: z
      .looseObject({
        name: z.string(),
        headroom: z.record(z.string(), z.number()),
      })
      .optional(),
    steps: z.array(
      z.looseObject({
        occurrence: z.number(),
        step: z.number(),
        waiting: z.number(),
        placed: z.number(),
        done: z.number(),
        worker: z.string().optional(),
        rack: z.string().optional(),
        waitsFor: z.array(
          z.looseObject({
            reason: z.string(),
            until: z.number().optional(),
            detail: z.string().optional(),
          }),
        ),
        openWorkers: z.number(),
        excluded: z.array(
          z.looseObject({
            reason: z.string(),
            count: z.number(),
            workers: z.array(z.string()),
          }),
        ),
      }),
    ),
    omittedSteps: z.number(),
  }),
});
export type PlacementView = z.infer<typeof PlacementView>;
