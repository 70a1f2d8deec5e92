import protobuf from 'protobufjs';

/** How a field is written. */
export type FieldKind = 'string' | 'bytes' | 'varint' | 'bool' | 'double' | 'float' | 'message';

/** One field of a message, as an encoder needs it. */
export interface FieldPlan {
  readonly name: string;
  /** Number and wire type. */
  readonly tag: number;
  readonly kind: FieldKind;
  readonly repeated: boolean;
  /** Fields of the message in the field; absent for other kinds. */
  readonly message: MessagePlan | undefined;
}

/** Fields of a message, by ascending number. */
export type MessagePlan = readonly FieldPlan[];

/** Kinds of the scalar types that the schema uses. */
const KINDS: Readonly<Record<string, FieldKind>> = {
  string: 'string',
  bytes: 'bytes',
  uint32: 'varint',
  bool: 'bool',
  double: 'double',
  float: 'float',
};

const WIRE_TYPES: Readonly<Record<FieldKind, number>> = {
  varint: 0,
  bool: 0,
  double: 1,
  string: 2,
  bytes: 2,
  message: 2,
  float: 5,
};

/** Bits of a tag that hold the wire type. */
const WIRE_TYPE_BITS = 3;

/**
 * Creates the plan of a message type and of the types in it. Throws on a field that an encoder does not write, so that
 * a new kind of field shows when the module is loaded.
 * @param type - Type with resolved references; no type holds itself.
 */
export function createMessagePlan(type: protobuf.Type): MessagePlan {
  return [...type.fieldsArray]
    .sort((left, right) => left.id - right.id)
    .map((field) => createFieldPlan(field));
}

/**
 * Creates the tag of a field.
 * @param id - Number of the field.
 * @param kind - How it is written.
 */
export function createTag(id: number, kind: FieldKind): number {
  return id * 2 ** WIRE_TYPE_BITS + WIRE_TYPES[kind];
}

function createFieldPlan(field: protobuf.Field): FieldPlan {
  const { name, id, repeated, resolvedType } = field;
  const kind = findKind(field);
  const isPacked = repeated && WIRE_TYPES[kind] !== WIRE_TYPES.message;
  if (isPacked || field.map) {
    throw new TypeError(`field ${field.fullName} has a kind that is not encoded`);
  }
  const tag = createTag(id, kind);
  const message =
    resolvedType instanceof protobuf.Type ? createMessagePlan(resolvedType) : undefined;
  return { name, tag, kind, repeated, message };
}

function findKind({ type, fullName, resolvedType }: protobuf.Field): FieldKind {
  if (resolvedType !== null) {
    return resolvedType instanceof protobuf.Type ? 'message' : 'varint';
  }
  const kind = KINDS[type];
  if (kind === undefined) {
    throw new TypeError(`field ${fullName} has the type ${type}, which is not encoded`);
  }
  return kind;
}
