const INDENT = '  ';

/**
 * Renders a JSON value as indented text: one field per line, objects and arrays of primitive values in a single line.
 * @param value - State dump of a node.
 * @param depth - Indentation level.
 */
export function renderState(value: unknown, depth = 0): string {
  return renderLines(value, depth).join('\n');
}

function renderLines(value: unknown, depth: number): readonly string[] {
  if (!isContainer(value)) {
    return [`${INDENT.repeat(depth)}${String(value)}`];
  }
  return Object.entries(value).flatMap(([name, item]) => {
    const label = Array.isArray(value) ? '-' : `${name}:`;
    const prefix = `${INDENT.repeat(depth)}${label}`;
    if (!isContainer(item)) {
      return [`${prefix} ${String(item)}`];
    }
    if (Object.values(item).every((inner) => !isContainer(inner))) {
      return [`${prefix} ${renderInline(item)}`];
    }
    return [prefix, ...renderLines(item, depth + 1)];
  });
}

function renderInline(item: object): string {
  const entries = Object.entries(item);
  if (entries.length === 0) {
    return 'none';
  }
  const isList = Array.isArray(item);
  return entries.map(([name, inner]) => (isList ? `${inner}` : `${name}=${inner}`)).join(' ');
}

function isContainer(value: unknown): value is object {
  return typeof value === 'object' && value !== null;
}
