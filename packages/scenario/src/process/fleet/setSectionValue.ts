/**
 * Sets one key in a section of an INI file and keeps the rest of the text unchanged.
 * @param text - Content of the file.
 * @param section - Section header without the brackets.
 * @param key - Key to replace, or to add if the section does not have it.
 * @param value - New value.
 * @returns The new text, or undefined if the section does not exist.
 */
export function setSectionValue(
  text: string,
  section: string,
  key: string,
  value: string,
): string | undefined {
  const lines = text.split('\n');
  const header = lines.findIndex((line) => line.trim() === `[${section}]`);
  if (header === -1) {
    return undefined;
  }
  const following = lines.findIndex((line, index) => index > header && line.startsWith('['));
  const end = following === -1 ? lines.length : following;
  const present = lines.findIndex(
    (line, index) => index > header && index < end && line.split('=')[0]?.trim() === key,
  );
  if (present === -1) {
    lines.splice(header + 1, 0, `${key} = ${value}`);
  } else {
    lines[present] = `${key} = ${value}`;
  }
  return lines.join('\n');
}
