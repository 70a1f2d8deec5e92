import type { node } from '@tanagerpond/core';
import { expect } from 'chai';
import { readFraming } from '../../../src/process/backend/readFraming.js';

describe('readFraming', () => {
  const cases: readonly {
    readonly method?: string;
    readonly status?: number;
    readonly headers: readonly node.HeaderPair[];
    readonly framing: node.AnswerFraming;
  }[] = [
    { headers: [['content-length', '4']], framing: 'length' },
    { headers: [['transfer-encoding', 'Chunked ']], framing: 'chunked' },
    { headers: [['transfer-encoding', 'gzip, chunked']], framing: 'chunked' },
    {
      headers: [
        ['content-length', '4'],
        ['transfer-encoding', 'chunked, gzip'],
      ],
      framing: 'close',
    },
    { headers: [['connection', 'close']], framing: 'close' },
    { headers: [], framing: 'close' },
    { method: 'HEAD', headers: [], framing: 'bodiless' },
    { status: 204, headers: [], framing: 'bodiless' },
    { status: 304, headers: [['content-length', '4']], framing: 'bodiless' },
  ];
  cases.forEach(({ method = 'GET', status = 200, headers, framing }) => {
    it(`guards against a wrong end of the body: ${method} ${status} ${JSON.stringify(headers)} must be framed by ${framing}`, () => {
      expect(readFraming(method, status, headers)).to.equal(framing);
    });
  });
});
