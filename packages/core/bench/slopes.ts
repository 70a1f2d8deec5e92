import { measureCalls } from './slopes/measureCalls.js';
import { measureConfiguration } from './slopes/measureConfiguration.js';
import { measureMembership } from './slopes/measureMembership.js';
import { measureShares } from './slopes/measureShares.js';

// npm run bench:slopes: measures how the cost of each role grows with its size, for docs/CAPACITY.md.
console.log('calls (decisions only)');
console.table(measureCalls());
console.log('shares: 20 s of a holder and of a spender, lease 3 s');
console.table(measureShares());
console.log('configuration');
console.table(await measureConfiguration());
console.log('membership');
console.table(measureMembership());
