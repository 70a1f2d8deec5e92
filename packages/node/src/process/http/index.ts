export { AnswerOverheadError } from './AnswerOverheadError.js';
export { MAX_ANSWER_HEAD_BYTES, limitAnswerOverhead } from './limitAnswerOverhead.js';
