export { loadSettings } from './loadSettings.js';
export { parseSettings, toFileKey, toSchemaKey } from './parseSettings.js';
export { SettingsReloader } from './SettingsReloader.js';
export type { AdaptSettings } from './SettingsReloader.js';
export { SettingsError } from './SettingsError.js';
export type { SettingsFault } from './SettingsError.js';
export { formatAddress, isLoopback, settingsSchema } from './settingsSchema.js';
export type { ListenAddress, Settings } from './settingsSchema.js';
