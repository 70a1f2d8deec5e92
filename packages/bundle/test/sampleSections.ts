import type { SectionTexts } from '../src/index.js';

export const SAMPLE_DIGEST = 'a'.repeat(64);

/** Small valid bundle with an open route, path parameters and calls between routes. */
export const SAMPLE: SectionTexts = {
  'fleet.ini': '[fleet]\nmax-vms = 40\nshare-lease = 3s\nmax-depth = 4\n',
  'workspaces.ini': `[workspace north]
rate = 100
burst = 200
key-digests = ${SAMPLE_DIGEST}, ${'b'.repeat(64)}

[workspace visitors]
rate = 50.5
burst = 60
open = yes
`,
  'services.ini': `[service shop]
slots = 80
connections = 600
queue = 160

[service stock]
slots = 10
connections = 60
queue = 20
`,
  'routes.ini': `[route shop.browse]
method = GET
path = /walks/:id
open = yes
repeatable = yes
calls = stock.read

[route shop.order]
method = POST
path = /orders
repeatable = no
priority = 0
max-body = 16KiB
calls = stock.read, stock.take

[route stock.read]
method = GET
path = /items/:id/state
repeatable = yes

[route stock.take]
method = POST
path = /items/:id/take
repeatable = no
`,
};

/** Returns the sample with one text replaced in one file. Throws when the file does not contain the text. */
export function replaceIn(
  file: keyof SectionTexts,
  search: string,
  replacement: string,
): SectionTexts {
  if (!SAMPLE[file].includes(search)) {
    throw new Error(`the sample ${file} does not contain ${search}`);
  }
  return { ...SAMPLE, [file]: SAMPLE[file].replace(search, replacement) };
}
