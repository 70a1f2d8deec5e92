/** Names of the section files of a bundle, in the order in which they are parsed and their problems are reported. */
export const SECTION_FILES = ['fleet.ini', 'workspaces.ini', 'services.ini', 'routes.ini'] as const;

export type SectionFile = (typeof SECTION_FILES)[number];

/** Content of each section file of a bundle. */
export type SectionTexts = Readonly<Record<SectionFile, string>>;
