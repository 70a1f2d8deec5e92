import * as z from 'zod';

const durationSchema = z
  .string()
  .regex(/^\d+(\.\d+)?(ms|s)$/, 'a duration such as 500ms or 3s')
  .transform((text) => (text.endsWith('ms') ? parseFloat(text) : parseFloat(text) * 1_000));
const listSchema = z.string().transform((text) => text.split(',').map((item) => item.trim()));
const numberSchema = z
  .string()
  .regex(/^\d+(\.\d+)?$/, 'a number')
  .transform(Number);

const loadSchema = z.strictObject({
  workspace: z.string(),
  routes: listSchema,
  /** Mean arrival rate, in requests per second. */
  rate: numberSchema,
  retries: numberSchema.default(0),
  'retry-delay': durationSchema.default(50),
});

/** Schema of an experiment file, an INI file with the sections below. Durations are converted to milliseconds. */
export const experimentSchema = z.strictObject({
  experiment: z.strictObject({
    deployment: z.string(),
    'vms-per-service': numberSchema,
    'failure-domains': numberSchema.default(2),
    seeds: listSchema.transform((seeds) => seeds.map(Number)),
    'warm-up': durationSchema,
    before: durationSchema,
    surge: durationSchema,
    after: durationSchema,
    /** Requests per second that the slots can serve with the mix of the surge, slowdown included. */
    capacity: numberSchema,
    'baseline-retries': numberSchema.default(3),
  }),
  /** Mean service time by route, without the calls that it makes; `default` applies to all other routes. */
  work: z.record(z.string(), durationSchema).default({}),
  /** Overrides for settings of the bundle, by section header and key. */
  set: z.record(z.string(), z.record(z.string(), z.string())).default({}),
  /** Loads that are sent during the whole run. */
  load: z.record(z.string(), loadSchema),
  /** Additional loads that are sent only during the surge. */
  surge: z.record(z.string(), loadSchema).default({}),
  slowdown: z.strictObject({ service: z.string(), factor: numberSchema }).optional(),
});

export type Experiment = Readonly<z.infer<typeof experimentSchema>>;
export type ExperimentLoad = Experiment['load'][string];
