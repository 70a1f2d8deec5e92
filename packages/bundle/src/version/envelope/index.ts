export * from './Manifest.js';
export * from './parseEnvelope.js';
export * from './signBundle.js';
export * from './signingKeys.js';
export * from './verifyEnvelope.js';
export * from './verifyManifest.js';
