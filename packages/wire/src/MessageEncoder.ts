import type { FieldPlan, MessagePlan } from './createMessagePlan.js';

/** First size of the buffer, in bytes: a few frames with bodies. */
const FIRST_BYTES = 64 * 1024;

/** Most bytes of a varint of 32 bits, of a tag, or of a scalar. */
const SCALAR_BYTES = 8;

/** UTF-16 units of a string whose UTF-8 form has a length of one byte in any case. */
const SHORT_STRING = 42;

const VARINT_LIMIT = 0x80;

const VARINT_BITS = 7;

/**
 * Encodes messages of the schema into a buffer that it keeps. Fields with the default value are left out, as the
 * schema's language has it. One walk over the fields serves all types, so that it is compiled after a few frames of a
 * process; code of its own for each type stays uncompiled for hundreds of calls.
 */
export class MessageEncoder {
  #bytes = Buffer.allocUnsafeSlow(FIRST_BYTES);

  #position = 0;

  /**
   * Encodes one field.
   * @param field - Field of the message that is encoded.
   * @param value - Value of the field.
   * @returns The encoded field; the caller may keep it.
   */
  encodeField(field: FieldPlan, value: unknown): Buffer {
    this.#position = 0;
    this.#writeValue(field, value);
    return this.#copy();
  }

  /**
   * Encodes a repeated field.
   * @param field - Field of the message that is encoded.
   * @param values - Values of the field, in order.
   * @returns The encoded field; the caller may keep it.
   */
  encodeList(field: FieldPlan, values: readonly unknown[]): Buffer {
    this.#position = 0;
    this.#writeList(field, values);
    return this.#copy();
  }

  #copy(): Buffer {
    const encoded = Buffer.allocUnsafe(this.#position);
    encoded.set(this.#bytes.subarray(0, this.#position));
    return encoded;
  }

  #writeFields(plan: MessagePlan, message: Readonly<Record<string, unknown>>): void {
    for (let index = 0; index < plan.length; index++) {
      const field = plan[index];
      const value = message[field.name];
      if (field.repeated) {
        this.#writeList(field, value as readonly unknown[] | undefined);
      } else if (!isDefault(value)) {
        this.#writeValue(field, value);
      }
    }
  }

  #writeList(field: FieldPlan, values: readonly unknown[] = []): void {
    for (let index = 0; index < values.length; index++) {
      this.#writeValue(field, values[index]);
    }
  }

  #writeValue(field: FieldPlan, value: unknown): void {
    this.#reserve(2 * SCALAR_BYTES);
    this.#writeVarint(field.tag);
    switch (field.kind) {
      case 'string':
        this.#writeString(value as string);
        break;
      case 'varint':
        this.#writeVarint(value as number);
        break;
      case 'message':
        this.#writeMessage(field.message ?? [], value as Readonly<Record<string, unknown>>);
        break;
      case 'bytes':
        this.#writeBytes(value as Uint8Array);
        break;
      case 'bool':
        this.#writeVarint(value === true ? 1 : 0);
        break;
      case 'double':
        this.#position = this.#bytes.writeDoubleLE(value as number, this.#position);
        break;
      default:
        this.#position = this.#bytes.writeFloatLE(value as number, this.#position);
    }
  }

  /** The length stands before the message and is known after it; a long one moves the message. */
  #writeMessage(plan: MessagePlan, message: Readonly<Record<string, unknown>>): void {
    const start = this.#position;
    this.#position += 1;
    this.#writeFields(plan, message);
    const end = this.#position;
    const size = end - start - 1;
    if (size < VARINT_LIMIT) {
      this.#bytes[start] = size;
      return;
    }
    const extra = computeVarintSize(size) - 1;
    this.#reserve(extra);
    this.#bytes.copyWithin(start + 1 + extra, start + 1, end);
    this.#position = start;
    this.#writeVarint(size);
    this.#position = end + extra;
  }

  #writeString(text: string): void {
    if (text.length <= SHORT_STRING) {
      this.#reserve(VARINT_LIMIT);
      const size = this.#bytes.write(text, this.#position + 1);
      this.#bytes[this.#position] = size;
      this.#position += 1 + size;
      return;
    }
    const size = Buffer.byteLength(text);
    this.#writeVarint(size);
    this.#reserve(size);
    this.#position += this.#bytes.write(text, this.#position);
  }

  #writeBytes(bytes: Uint8Array): void {
    this.#writeVarint(bytes.length);
    this.#reserve(bytes.length);
    this.#bytes.set(bytes, this.#position);
    this.#position += bytes.length;
  }

  #writeVarint(value: number): void {
    let rest = value;
    while (rest >= VARINT_LIMIT) {
      this.#bytes[this.#position] = (rest % VARINT_LIMIT) + VARINT_LIMIT;
      this.#position += 1;
      rest = Math.floor(rest / VARINT_LIMIT);
    }
    this.#bytes[this.#position] = rest;
    this.#position += 1;
  }

  #reserve(size: number): void {
    const needed = this.#position + size;
    if (needed <= this.#bytes.length) {
      return;
    }
    const grown = Buffer.allocUnsafeSlow(Math.max(needed, 2 * this.#bytes.length));
    grown.set(this.#bytes);
    this.#bytes = grown;
  }
}

/**
 * Computes the bytes of a varint.
 * @param value - Unsigned integer.
 */
export function computeVarintSize(value: number): number {
  let size = 1;
  for (let rest = value; rest >= VARINT_LIMIT; rest /= 2 ** VARINT_BITS) {
    size += 1;
  }
  return size;
}

function isDefault(value: unknown): boolean {
  return (
    value === undefined ||
    value === '' ||
    value === 0 ||
    value === false ||
    value === null ||
    (value instanceof Uint8Array && value.length === 0)
  );
}
