import { createServer, connect, type AddressInfo, type Server, type Socket } from 'node:net';
import { MAX_BATCH_BYTES } from '@tanagerpond/wire';
import { expect } from 'chai';
import { TcpFrameStream } from '../../src/connection/TcpFrameStream.js';
import { waitFor } from '../support/waitFor.js';

describe('TcpFrameStream', () => {
  let server: Server;
  let sender: Socket;
  let received: string[];
  let isClosed: boolean;

  beforeEach(async () => {
    received = [];
    isClosed = false;
    server = createServer((socket) => {
      const stream = new TcpFrameStream(socket);
      stream.on('data', (bytes) => received.push(bytes.toString()));
      stream.on('error', () => undefined);
      stream.on('close', () => {
        isClosed = true;
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', () => resolve());
    });
    sender = connect((server.address() as AddressInfo).port, '127.0.0.1');
    sender.on('error', () => undefined);
  });

  afterEach(() => {
    sender.destroy();
    server.close();
  });

  it('guards against messages that are split or merged at packet boundaries', async () => {
    const stream = new TcpFrameStream(sender);
    stream.write(Buffer.from('first'));
    stream.write(Buffer.alloc(0));
    sender.write(Buffer.from([0, 0]));
    await waitFor('the first messages', () => received.length === 2);
    sender.write(Buffer.from([0, 3, 0x61]));
    sender.write(Buffer.from('bc'));
    await waitFor('the cut message', () => received.length === 3);
    expect(received).to.deep.equal(['first', '', 'abc']);
  });

  it('guards against unbounded buffering for a message whose length prefix exceeds the limit', async () => {
    const length = Buffer.alloc(4);
    length.writeUInt32BE(MAX_BATCH_BYTES + 1);
    sender.write(length);
    await waitFor('the end of the connection', () => isClosed);
    expect(received).to.deep.equal([]);
  });
});
