import {SubmissionSpecification} from '@cardamomfield/cell-model';
import {z} from 'zod';
import {CompactStep} from './compact_step.js';

/** A specification as the records of large submissions hold it. */
export const CompactSpecification = SubmissionSpecification.extend({
  steps: z.array(CompactStep).min(1),
});
