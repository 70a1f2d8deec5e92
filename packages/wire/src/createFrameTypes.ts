import { ScalarType, type DescEnum, type DescField, type DescMessage } from '@bufbuild/protobuf';
import protobuf from 'protobufjs/light.js';
import { file_link } from './generated/link_pb.js';

const EMPTY_BYTES = Buffer.alloc(0);

/** protobufjs types of the messages of the peer link. */
export interface FrameTypes {
  readonly frame: protobuf.Type;
  readonly batch: protobuf.Type;
}

/**
 * Creates the protobufjs types from the descriptor in the generated code, so that there is a single schema. protobufjs
 * generates an encoder and a decoder for each type, which are many times faster than the reflection of
 * `@bufbuild/protobuf`. The descriptor objects are mapped directly: encoding the descriptor and letting protobufjs
 * decode it took a tenth of the start-up time of a process.
 */
export function createFrameTypes(): FrameTypes {
  const { messages, enums, proto } = file_link;
  const root = new protobuf.Root();
  const types = root.define(proto.package, {
    ...Object.fromEntries(enums.map((one) => [one.name, describeEnum(one)])),
    ...Object.fromEntries(messages.map((one) => [one.name, describeMessage(one)])),
  });
  root.resolveAll();
  types.nestedArray.forEach(setEmptyBytes);
  return { frame: types.lookupType('Frame'), batch: types.lookupType('Batch') };
}

/** Lets absent byte fields be read as empty buffers, as in the generated types; protobufjs returns an empty array. */
function setEmptyBytes(type: protobuf.ReflectionObject): void {
  if (!(type instanceof protobuf.Type)) {
    return;
  }
  const prototype = type.ctor.prototype as Record<string, unknown>;
  type.fieldsArray
    .filter((field) => field.type === 'bytes' && !field.repeated)
    .forEach((field) => {
      prototype[field.name] = EMPTY_BYTES;
    });
}

function describeEnum({ values }: DescEnum): protobuf.IEnum {
  return { values: Object.fromEntries(values.map(({ name, number }) => [name, number])) };
}

function describeMessage({ fields, oneofs }: DescMessage): protobuf.IType {
  return {
    fields: Object.fromEntries(fields.map((field) => [field.jsonName, describeField(field)])),
    oneofs: Object.fromEntries(
      oneofs.map((oneof) => [oneof.name, { oneof: oneof.fields.map(({ jsonName }) => jsonName) }]),
    ),
  };
}

/** Uses the JSON names (camel case), which are the field names in the generated code. */
function describeField(field: DescField): protobuf.IField {
  const rule = field.fieldKind === 'list' ? { rule: 'repeated' } : {};
  return { id: field.number, type: describeType(field), ...rule };
}

function describeType({ message, enum: listed, scalar }: DescField): string {
  return message?.name ?? listed?.name ?? ScalarType[scalar ?? ScalarType.BYTES].toLowerCase();
}
