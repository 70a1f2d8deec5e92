export { AnswerOverheadError } from './AnswerOverheadError.js';
export { ANSWER_HEAD_BYTES, limitAnswers } from './limitAnswers.js';
