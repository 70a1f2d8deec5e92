import * as ini from 'ini';
import { Result } from 'true-myth';
import { experimentSchema, type Experiment } from './experimentSchema.js';

/** Kinds of sections whose header continues with a name, such as `[load NAME]`. */
const NAMED_KINDS = new Set(['load', 'surge', 'set']);

/**
 * Parses an experiment file.
 * @param text - Content of the INI file.
 * @returns The experiment, or one error message for each problem.
 */
export function parseExperiment(text: string): Result<Experiment, readonly string[]> {
  const sections: Record<string, unknown> = {};
  Object.entries(ini.parse(escapeHeaders(text))).forEach(([header, section]) => {
    const [kind = '', ...rest] = header.split(' ');
    if (NAMED_KINDS.has(kind)) {
      sections[kind] = { ...(sections[kind] as object | undefined), [rest.join(' ')]: section };
    } else {
      sections[header] = section;
    }
  });
  const parsed = experimentSchema.safeParse(sections);
  if (parsed.success) {
    return Result.ok(parsed.data);
  }
  return Result.err(
    parsed.error.issues.map((issue) => `[${issue.path.join('] ')}: ${issue.message}`),
  );
}

/**
 * Escapes dots in section headers, because the INI parser reads a dot as a nested section and route names have dots.
 */
function escapeHeaders(text: string): string {
  return text.replaceAll(/^\[.*\]$/gm, (header) => header.replaceAll('.', '\\.'));
}
