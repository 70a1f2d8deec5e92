/** Files of a bundle, in the order in which they are read. */
export const SECTION_FILES = ['fleet.ini', 'workspaces.ini', 'services.ini', 'routes.ini'] as const;

export type SectionFile = (typeof SECTION_FILES)[number];

/** Text of every file of a bundle. */
export type SectionTexts = Readonly<Record<SectionFile, string>>;
