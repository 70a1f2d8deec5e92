export * from './findExposedKey.js';
export * from './identifyWorkspace.js';
export * from './readDeadline.js';
export * from './readHeader.js';
export * from './removeConnectionHeaders.js';
export * from './selectForwardedHeaders.js';
