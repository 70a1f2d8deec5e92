import { clone, create, toBinary } from '@bufbuild/protobuf';
import {
  FileDescriptorProtoSchema,
  FileDescriptorSetSchema,
  type DescriptorProto,
} from '@bufbuild/protobuf/wkt';
import protobuf from 'protobufjs';
import descriptor from 'protobufjs/ext/descriptor/index.js';
import { file_link } from './generated/link_pb.js';

/** Types of the peer link with generated encoders and decoders. */
export interface FrameTypes {
  readonly frame: protobuf.Type;
  readonly batch: protobuf.Type;
}

/** Package of the schema. */
const PACKAGE = 'tanagerpond.link.v1';

/**
 * Creates the types from the descriptor in the generated code, so that there is one schema. protobufjs generates code for
 * each type, which is many times faster than the reflection of the generated code's own library.
 */
export function createFrameTypes(): FrameTypes {
  const file = clone(FileDescriptorProtoSchema, file_link.proto);
  file.messageType.forEach(useJsonNames);
  const set = create(FileDescriptorSetSchema, { file: [file] });
  const decoded = descriptor.FileDescriptorSet.decode(toBinary(FileDescriptorSetSchema, set));
  const root = (protobuf.Root as unknown as DescriptorRoot).fromDescriptor(decoded).resolveAll();
  return {
    frame: root.lookupType(`${PACKAGE}.Frame`),
    batch: root.lookupType(`${PACKAGE}.Batch`),
  };
}

/** The part of `Root` that the descriptor extension adds. */
interface DescriptorRoot {
  fromDescriptor(set: protobuf.Message): protobuf.Root;
}

/** The generated code names fields in camel case, as JSON does. */
function useJsonNames(message: DescriptorProto): void {
  message.field.forEach((field) => Object.assign(field, { name: field.jsonName }));
  message.nestedType.forEach(useJsonNames);
}
