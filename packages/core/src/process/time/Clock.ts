/** Source of time. Decisions use only the monotonic time. */
export interface Clock {
  /** Returns the monotonic time, in milliseconds since an arbitrary start. */
  now(): number;

  /** Returns the wall-clock time; only for logs and state dumps. */
  date(): Date;
}
